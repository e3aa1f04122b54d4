package stand2;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.HashSet;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Clients send two further idempotent requests before the first one has been answered, and the host is stopped with SIGTERM. The answer to
 * the first request closes the connection; the requests behind it count as not read. Without the disruption there is no SIGTERM.
 */
public final class Case7 {
    private static final int CLIENTS = 6;
    private static final int ANSWER_BYTES = 540_000;
    private static final int SERVICE_MS = 20;
    private static final int REQUESTS_AT_ONCE = 3;
    private static final int APART_MS = 15;
    private static final int TIMEOUT_MS = 2_000;
    private static final int DEADLINE_MS = 5_000;
    private static final int STABLE_MS = 4_000;

    /** The first request that a client sent, with how it ended: null if its answer was complete. */
    private record First(String id, long sentAtMs, long endedAtMs, long bytesRead, String failure) { }

    public static void main(String[] args) {
        Lab.play(args[0], Case7::play);
    }

    private static int play(Path record) throws Exception {
        try (Lab lab = new Lab(record)) {
            lab.zones.put("amman-a", "amman");
            for (int i = 0; i < 6; i++) {
                Worker worker = new Worker("i-vault" + i, "vault", "amman-a", 20, SERVICE_MS);
                worker.bodyBytes = ANSWER_BYTES;
                lab.add(worker);
            }
            lab.desired(7, Lab.rule("r-archive", "download", "/archive/", "vault", TIMEOUT_MS), Lab.service("vault"));
            Host host = lab.start(1, "amman-a");
            if (!Lab.await(20_000, host::isReady)) {
                lab.note("the host did not become ready");
                return 2;
            }
            Queue<First> firsts = new ConcurrentLinkedQueue<>();
            boolean[] isOver = new boolean[1];
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Thread client = new Thread(() -> {
                    while (!isOver[0]) talk(host, firsts, isOver);
                });
                client.start();
                clients.add(client);
            }
            Thread.sleep(STABLE_MS + 1_000);
            long stoppedAtMs = Lab.nowMs();
            if (Lab.TROUBLE) host.signal("TERM");
            lab.note(Lab.TROUBLE ? "SIGTERM sent" : "no SIGTERM is sent");
            host.awaitEnd(lab.graceS * 1_000L);
            if (Lab.TROUBLE) lab.note(host.isAlive() ? "the process still runs at the end of graceS" : "the process has ended by itself");
            isOver[0] = true;
            for (Thread client : clients) client.join();

            Set<String> ran = new HashSet<>();
            lab.workers.forEach(w -> w.runs.forEach(r -> ran.add(r.id())));
            int complete = 0;
            int lost = 0;
            for (First first : firsts) {
                if (first.failure == null) complete++;
                // What had used up its time, or wasn't passed on, does not count.
                boolean isCounted = first.failure != null && ran.contains(first.id) && first.endedAtMs - first.sentAtMs < TIMEOUT_MS;
                if (isCounted) lost++;
                String start = "request " + first.id + ", sent at " + first.sentAtMs + " ms, " + (ran.contains(first.id) ? "ran" : "did not run");
                if (first.failure == null) {
                    lab.note(start + ", answered whole after " + (first.endedAtMs - first.sentAtMs) + " ms");
                } else {
                    lab.note(start + "; its connection ended after " + (first.endedAtMs - first.sentAtMs) + " ms and " + first.bytesRead
                        + " bytes of its answer: " + first.failure);
                }
            }
            lab.note(complete + " first requests had a complete answer; " + lost + " were passed on to a worker, and their connection ended without one");
            lab.note(lost > 0 ? "LOST broken" : "held");
            return lost > 0 ? 1 : 0;
        }
    }

    /** Talks over one connection until it is closed. */
    private static void talk(Host host, Queue<First> firsts, boolean[] isOver) {
        String id = null;
        long sentAtMs = 0;
        long[] read = new long[1];
        try (Client client = new Client(host.ip, host.callers)) {
            client.socket.setSoTimeout(DEADLINE_MS);
            OutputStream out = client.socket.getOutputStream();
            boolean isOpen = true;
            while (isOpen && !isOver[0]) {
                id = Lab.newId();
                sentAtMs = Lab.nowMs();
                read[0] = 0;
                for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                    String each = i == 0 ? id : Lab.newId();
                    out.write(("GET /archive/" + each + " HTTP/1.1\r\n" + Lab.headers(each, DEADLINE_MS) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    if (i + 1 < REQUESTS_AT_ONCE) Thread.sleep(APART_MS);
                }
                Http first = readAnswer(client, read);
                firsts.add(new First(id, sentAtMs, Lab.nowMs(), read[0], null));
                id = null;
                isOpen = !"close".equalsIgnoreCase(first.header("connection"));
                for (int i = 1; isOpen && i < REQUESTS_AT_ONCE; i++) {
                    isOpen = !"close".equalsIgnoreCase(readAnswer(client, new long[1]).header("connection"));
                }
            }
        } catch (Exception e) {
            if (id != null) firsts.add(new First(id, sentAtMs, Lab.nowMs(), read[0], "" + e.getMessage()));
            sleep(50);
        }
    }

    private static Http readAnswer(Client client, long[] read) throws Exception {
        Http answer = Http.readHead(client.in);
        if (answer == null) throw new java.io.EOFException("closed without an answer");
        int length = Integer.parseInt(answer.header("content-length"));
        byte[] buffer = new byte[16_384];
        while (read[0] < length) {
            int count = client.in.read(buffer, 0, (int) Math.min(buffer.length, length - read[0]));
            if (count < 0) throw new java.io.EOFException("closed in the middle of the answer");
            read[0] += count;
        }
        return answer;
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
