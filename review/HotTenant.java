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

/**
 * Eight clients of two tenants send orders to one host over kept connections. With trouble, the tenant of seven of them sends 7.5 times its
 * usual for 6.5 s. What is judged begins 5 s after that, when the traffic is as usual again.
 */
public final class HotTenant extends Case {
    private static final int HOT_CLIENTS = 7;
    private static final double PERIOD_MS = 120;
    private static final double HOT_FACTOR = 7.5;
    private static final int HOT_FROM_MS = 2_000;
    private static final int HOT_MS = 6_500;
    private static final int CALM_MS = 5_000;
    private static final int END_MS = 16_500;
    private static final int BODY_BYTES = 24_000;
    private static final int TIMEOUT_MS = 1_000;
    private static final int DEADLINE_MS = 3_000;

    private static final class Sent {
        final boolean isJudged;
        volatile long sentAtMs;
        volatile long endedAtMs;
        volatile String end;

        Sent(boolean isJudged) {
            this.isJudged = isJudged;
        }
    }

    private final Map<String, Sent> requests = new ConcurrentHashMap<>();

    public static void main(String[] args) {
        Case.main(new HotTenant(), Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        startFleet(1, Desired.state(1, TIMEOUT_MS, Desired.tenant("kaje80", "key-1"), Desired.tenant("mulo17", "key-2")),
            List.of(new Worker("w1", Desired.SERVICE, "casa-a"), new Worker("w2", Desired.SERVICE, "casa-a")));
        Host host = hosts.get(0);
        sleep(5_000);
        note("usual traffic begins: " + (HOT_CLIENTS + 1) + " clients, each sends " + BODY_BYTES + " bytes every " + (int) PERIOD_MS + " ms");
        long start = System.currentTimeMillis();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i <= HOT_CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> client(host, "c" + number, number < HOT_CLIENTS ? "key-1" : "key-2", start, hasTrouble && number < HOT_CLIENTS));
            client.start();
            clients.add(client);
        }
        sleep(HOT_FROM_MS);
        if (hasTrouble) note("one tenant sends " + HOT_FACTOR + " times its usual, for " + HOT_MS + " ms");
        for (Thread client : clients) client.join(40_000);
        note("no traffic for 10 s");
        sleep(10_000);
        Http last = send(host, head("POST", Desired.UNSAFE + "last", "last", "key-1", DEADLINE_MS, 0), new byte[0], DEADLINE_MS);
        note("then: process alive " + host.process.isAlive() + ", ready " + host.isReady() + ", a request without a body gets " + describe(last));
        note("lines of the host's log with OutOfMemoryError: "
            + Files.readAllLines(host.log.toPath()).stream().filter(line -> line.contains("OutOfMemoryError")).count());
        return judge();
    }

    /** CONFIG: of the requests that are unanswered at the route's timeoutMs, more than half have no answer 0.5 s later; 8 at least here. */
    private int judge() {
        Map<String, Integer> ends = new TreeMap<>();
        Set<String> run = new HashSet<>();
        runs().forEach(one -> run.add(one.id()));
        int unanswered = 0;
        int late = 0;
        int judged = 0;
        for (Map.Entry<String, Sent> entry : requests.entrySet()) {
            Sent sent = entry.getValue();
            ends.merge((sent.isJudged ? "judged: " : "before: ") + sent.end + (run.contains(entry.getKey()) ? ", a worker ran it" : ""), 1, Integer::sum);
            if (!sent.isJudged || sent.sentAtMs == 0) continue;
            judged++;
            long tookMs = sent.endedAtMs - sent.sentAtMs;
            if (tookMs >= TIMEOUT_MS) unanswered++;
            if (tookMs >= TIMEOUT_MS + 500) late++;
        }
        ends.forEach((end, count) -> note(count + " x " + end));
        note("judged, sent in full: " + judged + "; unanswered at the route's timeoutMs of " + TIMEOUT_MS + " ms: " + unanswered
            + "; unanswered 0.5 s later: " + late);
        return late >= 8 && late * 2 > unanswered ? BROKEN : HELD;
    }

    /** Sends a request each [PERIOD_MS] on a kept connection; in the hot time 7.5 times as many. */
    private void client(Host host, String name, String key, long start, boolean isHot) {
        Socket[] kept = new Socket[1];
        double due = PERIOD_MS * Math.random();
        for (int i = 0; due < END_MS; i++) {
            long now = System.currentTimeMillis() - start;
            if (due > now) sleep((int) (due - now));
            else due = now;
            boolean isInHotTime = isHot && due >= HOT_FROM_MS && due < HOT_FROM_MS + HOT_MS;
            Sent sent = new Sent(due >= HOT_FROM_MS + HOT_MS + CALM_MS);
            due += isInHotTime ? PERIOD_MS / HOT_FACTOR : PERIOD_MS;
            String id = name + "-" + i;
            requests.put(id, sent);
            request(host, id, key, sent, kept);
        }
        close(kept);
    }

    /** Sends a request, its body in two parts as over a real line, and reads the answer. */
    private void request(Host host, String id, String key, Sent sent, Socket[] kept) {
        try {
            if (kept[0] == null) kept[0] = connect(host);
            Socket socket = kept[0];
            OutputStream out = socket.getOutputStream();
            out.write(head("POST", Desired.UNSAFE + id, id, key, DEADLINE_MS, BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1));
            out.write(new byte[BODY_BYTES / 2]);
            sleep(2);
            out.write(new byte[BODY_BYTES / 2]);
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
        if (!sent.end.equals("answer 200")) close(kept);
    }

    private static void close(Socket[] kept) {
        try {
            if (kept[0] != null) kept[0].close();
        } catch (IOException e) {
            // it is over anyway
        }
        kept[0] = null;
    }
}
