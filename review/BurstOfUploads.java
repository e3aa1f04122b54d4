package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Clients on slow lines each send one order with a body of 24 kB to a host; an upload takes 2 s. Usually 1,200 come in 1 s. With
 * trouble, 1.7 times as many do.
 */
public final class BurstOfUploads extends Case {
    private static final int USUAL_CLIENTS = 1_200;
    private static final double BURST = 1.7;
    private static final int BODY_BYTES = 24_000;
    private static final int UPLOAD_MS = 2_000;
    private static final int PARTS = 100;
    private static final int SPREAD_MS = 1_000;
    private static final int TIMEOUT_MS = 3_000;
    private static final int DEADLINE_MS = 9_000;

    private static final class Sent {
        volatile long sentAtMs;
        volatile long endedAtMs;
        volatile String end;
    }

    private final Map<String, Sent> requests = new ConcurrentHashMap<>();

    public static void main(String[] args) {
        Case.main(new BurstOfUploads(), Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        startFleet(1, Desired.state(1, TIMEOUT_MS, Desired.tenant("kaje80", "key-1")),
            workers());
        Host host = hosts.get(0);
        sleep(5_000);
        int clients = hasTrouble ? (int) Math.round(USUAL_CLIENTS * BURST) : USUAL_CLIENTS;
        note("the host is in touch; " + clients + " clients begin to send " + BODY_BYTES + " bytes each, in " + UPLOAD_MS + " ms");
        CountDownLatch running = new CountDownLatch(clients);
        for (int i = 0; i < clients; i++) {
            String id = "u" + i;
            int delayMs = i * SPREAD_MS / clients;
            Worker.daemon(() -> {
                sleep(delayMs);
                request(host, id);
                running.countDown();
            });
        }
        if (!running.await(50, TimeUnit.SECONDS)) throw new IOException("the clients did not end");
        note("all clients have ended; no traffic for 10 s");
        sleep(10_000);
        Http last = send(host, head("POST", Desired.UNSAFE + "last", "last", "key-1", 2_000, 0), new byte[0], 3_000);
        note("then: process alive " + host.process.isAlive() + ", ready " + host.isReady() + ", a request without a body gets " + describe(last));
        note("lines of the host's log with OutOfMemoryError: "
            + Files.readAllLines(host.log.toPath()).stream().filter(line -> line.contains("OutOfMemoryError")).count());
        return judge();
    }

    private static List<Worker> workers() throws IOException {
        List<Worker> list = new ArrayList<>();
        for (int i = 1; i <= 12; i++) list.add(new Worker("w" + i, Desired.SERVICE, i % 2 == 0 ? "casa-a" : "casa-b"));
        return list;
    }

    /** CONFIG: of the requests that are unanswered at the route's timeoutMs, more than half have no answer 0.5 s later; 8 at least here. */
    private int judge() {
        Map<String, Integer> ends = new TreeMap<>();
        Set<String> run = new HashSet<>();
        runs().forEach(one -> run.add(one.id()));
        int unanswered = 0;
        int late = 0;
        int sentInFull = 0;
        for (Map.Entry<String, Sent> entry : requests.entrySet()) {
            Sent sent = entry.getValue();
            ends.merge(sent.end + (run.contains(entry.getKey()) ? ", a worker ran it" : ""), 1, Integer::sum);
            if (sent.sentAtMs == 0) continue;
            sentInFull++;
            long tookMs = sent.endedAtMs - sent.sentAtMs;
            if (tookMs >= TIMEOUT_MS) unanswered++;
            if (tookMs >= TIMEOUT_MS + 500) late++;
        }
        ends.forEach((end, count) -> note(count + " x " + end));
        note("sent in full: " + sentInFull + "; unanswered at the route's timeoutMs of " + TIMEOUT_MS + " ms: " + unanswered
            + "; unanswered 0.5 s later: " + late);
        return late >= 8 && late * 2 > unanswered ? BROKEN : HELD;
    }

    /** Sends one request on a connection of its own and reads its answer. */
    private void request(Host host, String id) {
        Sent sent = new Sent();
        requests.put(id, sent);
        try (Socket socket = connect(host)) {
            OutputStream out = socket.getOutputStream();
            out.write(head("POST", Desired.UNSAFE + id, id, "key-1", DEADLINE_MS, BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < PARTS; i++) {
                out.write(new byte[BODY_BYTES / PARTS]);
                sleep(UPLOAD_MS / PARTS);
            }
            sent.sentAtMs = System.currentTimeMillis();
            socket.setSoTimeout(DEADLINE_MS);
            Http answer = Http.read(new BufferedInputStream(socket.getInputStream()), false);
            sent.end = answer == null ? "closed without an answer" : "answer " + answer.status();
        } catch (SocketTimeoutException e) {
            sent.end = sent.sentAtMs == 0 ? "no connection within 1 s" : "no answer until the client's deadline";
        } catch (IOException e) {
            sent.end = "connection lost";
        }
        sent.endedAtMs = System.currentTimeMillis();
    }
}
