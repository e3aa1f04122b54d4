package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.io.BufferedInputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Four of seven workers spoil 3 in 100 of their answers: bytes of another answer stand in the status line, so that it isn't an answer. Each
 * client waits for 8 s although its route has a timeoutMs of 1 s.
 */
public final class SpoiltStatusLine extends Case {
    private static final int GARBLE_MS = 5_000;
    private static final int TIMEOUT_MS = 1_000;
    private static final int DEADLINE_MS = 8_000;

    private static final class SpoilingWorker extends Worker {
        private final boolean isFaulty;
        private int count;

        SpoilingWorker(String id, String zone, boolean isFaulty) throws IOException {
            super(id, Desired.SERVICE, zone);
            this.isFaulty = isFaulty;
        }

        @Override
        protected boolean run(Http request, OutputStream out) throws IOException {
            boolean spoils;
            synchronized (this) {
                spoils = isFaulty && ++count % 33 == 0;
            }
            sleep(30);
            if (!spoils) return super.run(request, out);
            out.write(("HTTP/1.1 200200 OK\r\nRequest-Id: " + request.header("Request-Id") + "\r\nServer-Stamp: " + stamp(request)
                + "\r\nContent-Length: 4\r\n\r\ndone").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return false;
        }
    }

    private int orders;
    private int unanswered;
    private int late;

    public static void main(String[] args) {
        Case.main(new SpoiltStatusLine(), Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        startFleet(1, Desired.state(1, TIMEOUT_MS, Desired.tenant("kaje80", "key-1")),
            workers(hasTrouble));
        Host host = hosts.get(0);
        sleep(5_000);
        Thread[] clients = new Thread[24];
        long until = System.currentTimeMillis() + GARBLE_MS;
        for (int c = 0; c < clients.length; c++) {
            int number = c;
            clients[c] = new Thread(() -> {
                for (int i = 0; System.currentTimeMillis() < until; i++) {
                    order(host, "o" + number + "-" + i);
                    sleep(20);
                }
            });
            clients[c].start();
        }
        for (Thread client : clients) client.join(90_000);
        note(orders + " orders; unanswered at the route's timeoutMs of " + TIMEOUT_MS + " ms: " + unanswered + "; unanswered 0.5 s later: " + late);
        return late >= 8 && late * 2 > unanswered ? BROKEN : HELD;
    }

    private static List<Worker> workers(boolean areSomeFaulty) throws IOException {
        List<Worker> list = new ArrayList<>();
        for (int i = 1; i <= 7; i++) list.add(new SpoilingWorker("w" + i, i % 2 == 0 ? "casa-a" : "casa-b", areSomeFaulty && i <= 4));
        return list;
    }

    private void order(Host host, String id) {
        long sentAt = System.currentTimeMillis();
        String end;
        try (Socket socket = connect(host)) {
            Http answer = exchange(socket, head("POST", Desired.UNSAFE + id, id, "key-1", DEADLINE_MS, 0), new byte[0], DEADLINE_MS);
            end = describe(answer);
        } catch (SocketTimeoutException e) {
            end = "no answer until the client's deadline";
        } catch (IOException e) {
            end = e.toString();
        }
        long tookMs = System.currentTimeMillis() - sentAt;
        boolean hasRun = runs().stream().anyMatch(run -> run.id().equals(id));
        synchronized (this) {
            orders++;
            if (tookMs >= TIMEOUT_MS) unanswered++;
            if (tookMs >= TIMEOUT_MS + 500) late++;
        }
        if (!end.startsWith("200")) note(id + ": " + end + " after " + tookMs + " ms" + (hasRun ? ", a worker ran it" : ""));
    }
}
