package stand2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/** A small deployment on the loopback interface: a store, workers and entry hosts. */
final class Lab implements AutoCloseable {
    interface Task {
        void run() throws Exception;
    }

    interface Play {
        int run(Path record) throws Exception;
    }

    static final long START_NS = System.nanoTime();
    static final String HOST_NAME = "ficu95.example";
    static final String KEY = "b9wu3fexd9dnn2ctnfzs";
    /** Whether the disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path folder;
    final Store store;
    final int callersPort = freePort();
    final int readyPort = freePort();
    final int directoryPort = freePort();
    final int peerPort = freePort();
    final int reportPort = freePort();
    final Map<String, String> zones = new LinkedHashMap<>();
    final List<Host> hosts = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    String seeds = "";
    int graceS = 6;
    private final PrintWriter record;
    private static final AtomicLong ids = new AtomicLong();

    Lab(Path record) throws IOException {
        folder = Files.createTempDirectory("case");
        store = new Store();
        this.record = new PrintWriter(Files.newBufferedWriter(record), true);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> hosts.forEach(Host::close)));
    }

    /** Plays a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    static void play(String record, Play play) {
        int result = 2;
        try {
            result = play.run(Path.of(record));
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    static long nowMs() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // A connection ended, or the stand-in was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    static int freePort() throws IOException {
        while (true) {
            try (ServerSocket tcp = new ServerSocket(0); DatagramSocket udp = new DatagramSocket(tcp.getLocalPort())) {
                return tcp.getLocalPort();
            } catch (java.net.BindException e) {
                // Taken for datagrams: try another one.
            }
        }
    }

    /** Writes a line into the record of the case. */
    synchronized void note(String line) {
        record.println(nowMs() + " ms  " + line);
    }

    static String newId() {
        return String.format("%016x", 0x9c41d07be2a30000L + ids.incrementAndGet());
    }

    static String headers(String id, long deadlineMs) {
        return "Host: " + HOST_NAME + "\r\nRequest-Id: " + id + "\r\nRequest-Deadline: " + deadlineMs + "\r\nAuthorization: Bearer " + KEY + "\r\n";
    }

    void add(Worker worker) {
        workers.add(worker);
        store.put("servers/" + worker.id, worker.entry("ready"));
        daemon(() -> {
            while (true) {
                Thread.sleep(1_500);
                if (!beats.contains(worker.id)) continue;
                store.put("servers/" + worker.id, worker.entry("ready"));
            }
        });
        beats.add(worker.id);
    }

    /** Ids of the workers that write heartbeats. */
    final java.util.Set<String> beats = java.util.concurrent.ConcurrentHashMap.newKeySet();

    void desired(int version, String rules, String services) {
        store.put("op/config", "{\"version\":" + version + ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"kaje80\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1,\"ratePerS\":0,\"burst\":0,"
            + "\"homeRegions\":[]}],\"listeners\":[{\"host\":\"" + HOST_NAME + "\",\"rules\":[" + rules + "]}],\"clusters\":[" + services + "]}");
    }

    static String rule(String name, String kind, String prefix, String service, int timeoutMs) {
        return "{\"name\":\"" + name + "\",\"kind\":\"" + kind + "\",\"targetLatencyMs\":400,\"priority\":1,\"authExempt\":false,\"sticky\":false,"
            + "\"match\":{\"prefix\":\"" + prefix + "\"},\"action\":{\"service\":\"" + service + "\",\"timeoutMs\":" + timeoutMs
            + ",\"maxAttempts\":2,\"homeRegions\":[]}}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false,\"coldS\":3.0,"
            + "\"coldPerS\":13.0}";
    }

    Host start(int number, String zone) throws Exception {
        Host host = new Host(this, number, zone, zones.get(zone));
        hosts.add(host);
        host.start();
        return host;
    }

    static boolean await(long ms, Callable<Boolean> condition) throws Exception {
        long end = nowMs() + ms;
        while (nowMs() < end) {
            if (condition.call()) return true;
            Thread.sleep(20);
        }
        return false;
    }

    @Override
    public void close() throws Exception {
        for (Host host : hosts) host.close();
        for (Host host : hosts) host.awaitEnd(2_000);
        for (Worker worker : workers) worker.close();
        store.close();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(folder);
    }
}
