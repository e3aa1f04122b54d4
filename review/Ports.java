package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Free ports below the range from which outgoing connections get theirs. */
final class Ports {
    private static final Random RANDOM = new Random();
    private static final Set<Integer> GIVEN = new HashSet<>();

    private Ports() {}

    static synchronized int free(String ip) {
        while (true) {
            int port = 12_000 + RANDOM.nextInt(18_000);
            if (!GIVEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket()) {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
                return port;
            } catch (IOException taken) {
                // try the next one
            }
        }
    }
}
