package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** What the scripts share: a small fleet with its store and workers, clients, the record, and the end of all of it. */
abstract class Case {
    static final String HOST_NAME = "ficu95.example";
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Whether the disruption takes place. */
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Host> hosts = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    Store store;
    private PrintWriter record;
    private Path folder;
    private final long startedAt = System.currentTimeMillis();

    /** Plays the case and returns its exit status. */
    abstract int play() throws Exception;

    static void main(Case played, Path caseFolder) {
        int status = NOT_RUN;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> played.hosts.forEach(Host::end)));
        try {
            played.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
            played.folder = Files.createTempDirectory("review");
            played.note("trouble: " + played.hasTrouble);
            status = played.play();
        } catch (Exception e) {
            if (played.record != null) {
                played.note("the case couldn't run: " + e);
                e.printStackTrace(played.record);
            }
            e.printStackTrace();
        } finally {
            played.end();
            played.note("exit status " + status);
        }
        Runtime.getRuntime().exit(status);
    }

    static void sleep(int ms) {
        Worker.sleep(ms);
    }

    /** Writes a line into the record. */
    final synchronized void note(String line) {
        String timed = String.format("%7d %s", System.currentTimeMillis() - startedAt, line);
        System.out.println(timed);
        if (record != null) record.println(timed);
    }

    /** Starts the store, [workers] and [count] entry hosts, and waits until all hosts are ready. */
    final void startFleet(int count, String desiredState, List<Worker> started) throws Exception {
        store = new Store();
        workers.addAll(started);
        store.put("op/config", desiredState);
        started.forEach(worker -> store.put("servers/" + worker.id, worker.entry()));
        List<String> zones = List.of("casa-a", "fes-a", "mrk-a");
        List<String> ips = new ArrayList<>();
        int base = 11 + (int) (ProcessHandle.current().pid() % 200);
        for (int i = 0; i < count; i++) ips.add("127.0." + base + "." + (i + 1));
        Host.SharedPorts shared = Host.SharedPorts.choose();
        for (int i = 0; i < count; i++) {
            hosts.add(new Host("h" + (i + 1), ips.get(i), zones.get(i % zones.size()), shared, ips, store.port, folder));
        }
        for (Host host : hosts) host.start();
        for (Host host : hosts) awaitReady(host);
        note(count + " entry hosts are ready");
    }

    final void awaitReady(Host host) throws Exception {
        long end = System.currentTimeMillis() + 30_000;
        while (!host.isReady()) {
            if (System.currentTimeMillis() > end || !host.process.isAlive()) {
                throw new IOException(host.name + " is not ready: " + Files.readString(host.log.toPath()));
            }
            Thread.sleep(50);
        }
    }

    final void keepLogs(Path target) throws IOException {
        for (Host host : hosts) Files.copy(host.log.toPath(), target.resolve(host.name + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** The request of a client, without its body. */
    static String head(String method, String target, String id, String key, int deadlineMs, int bodyBytes) {
        return method + " " + target + " HTTP/1.1\r\nHost: " + HOST_NAME + "\r\nRequest-Id: " + id + "\r\nRequest-Deadline: " + deadlineMs
            + "\r\n" + (key == null ? "" : "Authorization: Bearer " + key + "\r\n")
            + (bodyBytes > 0 || method.equals("POST") || method.equals("PUT") ? "Content-Length: " + bodyBytes + "\r\n" : "") + "\r\n";
    }

    static Socket connect(Host host) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(host.ip, host.callers), 1_000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Sends a request on a connection of its own and returns the answer, or null if the connection ends or [waitMs] pass without one. */
    static Http send(Host host, String head, byte[] body, int waitMs) {
        try (Socket socket = connect(host)) {
            return exchange(socket, head, body, waitMs);
        } catch (IOException e) {
            return null;
        }
    }

    static Http exchange(Socket socket, String head, byte[] body, int waitMs) throws IOException {
        socket.setSoTimeout(waitMs);
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        return Http.read(new BufferedInputStream(socket.getInputStream()), false);
    }

    final List<Worker.Run> runs() {
        List<Worker.Run> all = new ArrayList<>();
        workers.forEach(worker -> all.addAll(worker.runs));
        all.sort(Comparator.comparingLong(Worker.Run::atMs));
        return all;
    }

    static String describe(Http answer) {
        if (answer == null) return "no answer";
        return answer.status() + (answer.header("Server-Stamp") == null ? "" : " stamp " + answer.header("Server-Stamp"))
            + (answer.header("Retry-After") == null ? "" : " Retry-After " + answer.header("Retry-After")) + (answer.isComplete ? "" : " CUT");
    }

    private void end() {
        hosts.forEach(Host::end);
        workers.forEach(Worker::close);
        if (store != null) store.close();
        if (folder == null) return;
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            note("the temporary folder is left: " + e);
        }
    }
}
