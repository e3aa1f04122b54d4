package stand2;

import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Clients download archives, a hundred a second, read them whole, and keep their connections for at most twelve seconds, four fifths of
 * the idle time that the desired state allows. Meanwhile other clients send orders, each over a connection of its own. Without the
 * disruption the clients that download close their connections instead.
 */
public final class Case6 {
    private static final int CLIENTS = 1_100;
    private static final int DOWNLOAD_EVERY_MS = 10;
    private static final int ORDERS = 120;
    private static final int ORDER_EVERY_MS = 100;
    private static final int MEAN_BYTES = 90_000;
    private static final int MAX_BYTES = 540_000;
    private static final double SPREAD = 0.6;
    private static final int TIMEOUT_MS = 2_000;
    private static final int DEADLINE_MS = 6_000;
    private static final int IDLE_MS = 12_000;

    private record Sent(String what, String id, long atMs, long answeredAfterMs, String answer) { }

    public static void main(String[] args) {
        Lab.play(args[0], Case6::play);
    }

    private static int play(Path record) throws Exception {
        try (Lab lab = new Lab(record)) {
            lab.zones.put("amman-a", "amman");
            for (int i = 0; i < 8; i++) {
                lab.add(new Worker("i-vault" + i, "vault", "amman-a", 20, 20) {
                    @Override
                    protected void answer(Http request, String requestId, OutputStream out) throws Exception {
                        run(request, requestId);
                        send(out, 200, requestId, stamp(requestId), new byte[bytesOf(request.target())]);
                    }
                });
            }
            lab.desired(7, Lab.rule("r-archive", "download", "/archive/", "vault", TIMEOUT_MS) + ","
                + Lab.rule("r-reject", "unsafe", "/reject/", "vault", TIMEOUT_MS), Lab.service("vault"));
            Host host = lab.start(1, "amman-a");
            if (!Lab.await(20_000, host::isReady)) {
                lab.note("the host did not become ready");
                return 2;
            }
            lab.note("host ready; " + CLIENTS + " clients download archives of " + MEAN_BYTES + " bytes on average and " + MAX_BYTES
                + " at most, one every " + DOWNLOAD_EVERY_MS + " ms, and " + (Lab.TROUBLE ? "keep their connections" : "close their connections"));
            ExecutorService pool = Executors.newCachedThreadPool();
            List<Future<Sent>> all = new ArrayList<>();
            List<Future<Sent>> orders = new ArrayList<>();
            Thread ordering = new Thread(() -> {
                for (int i = 0; i < ORDERS; i++) {
                    orders.add(pool.submit(() -> order(host)));
                    sleep(ORDER_EVERY_MS);
                }
            });
            ordering.start();
            for (int i = 0; i < CLIENTS; i++) {
                all.add(pool.submit(() -> download(host)));
                sleep(DOWNLOAD_EVERY_MS);
            }
            ordering.join();
            all.addAll(orders);
            int late = 0;
            int never = 0;
            int whole = 0;
            for (Future<Sent> each : all) {
                Sent sent = each.get();
                boolean ran = lab.workers.stream().anyMatch(w -> w.runs.stream().anyMatch(r -> r.id().equals(sent.id)));
                lab.note(sent.what + " " + sent.id + " sent at " + sent.atMs + " ms: " + sent.answer + " after " + sent.answeredAfterMs
                    + " ms, " + (ran ? "ran" : "did not run"));
                if (sent.answer.startsWith("200")) whole++;
                if (sent.answeredAfterMs > TIMEOUT_MS + 500) never++;
                else if (sent.answeredAfterMs > TIMEOUT_MS) late++;
            }
            lab.note(all.size() + " requests: " + whole + " answered with success, " + (late + never) + " unanswered at their route's timeoutMs, "
                + never + " of these also half a second later");
            boolean serves = order(host).answer.startsWith("200");
            lab.note("an order that is sent alone after that is " + (serves ? "answered with success" : "not answered with success"));
            host.signal("TERM");
            boolean ended = host.awaitEnd(lab.graceS * 1_000L);
            lab.note("after SIGTERM the process " + (ended ? "ended" : "still ran at the end of graceS"));
            host.logLines().stream().filter(l -> l.contains("OutOfMemoryError")).limit(3)
                .forEach(l -> lab.note("log: " + l.substring(0, Math.min(160, l.length()))));
            boolean isBroken = late + never >= 8 && never > late;
            lab.note(isBroken ? "CONFIG broken" : "held");
            pool.shutdownNow();
            pool.awaitTermination(1, TimeUnit.SECONDS);
            return isBroken ? 1 : 0;
        }
    }

    /** Size of the answer to [target]: that of an archive depends on its name alone, and is distributed as in the site's sheet. */
    private static int bytesOf(String target) {
        if (!target.startsWith("/archive/")) return 400;
        double normal = new Random(target.hashCode()).nextGaussian();
        return (int) Math.min(MAX_BYTES, MEAN_BYTES * Math.exp(SPREAD * normal - SPREAD * SPREAD / 2));
    }

    private static Sent download(Host host) {
        String id = Lab.newId();
        long atMs = Lab.nowMs();
        Sent sent;
        Client client = null;
        try {
            client = new Client(host.ip, host.callers);
            client.socket.setSoTimeout(DEADLINE_MS);
            Http answer = client.send("GET", "/archive/" + id, Lab.headers(id, DEADLINE_MS), new byte[0]);
            sent = new Sent("download", id, atMs, Lab.nowMs() - atMs, answer.status() + ", " + answer.body.length + " bytes");
        } catch (Exception e) {
            sent = new Sent("download", id, atMs, Math.max(Lab.nowMs() - atMs, DEADLINE_MS), "no answer (" + e.getMessage() + ")");
        }
        if (Lab.TROUBLE && sent.answeredAfterMs < DEADLINE_MS) sleep(IDLE_MS);
        close(client);
        return sent;
    }

    private static Sent order(Host host) {
        String id = Lab.newId();
        long atMs = Lab.nowMs();
        try (Client client = new Client(host.ip, host.callers)) {
            client.socket.setSoTimeout(DEADLINE_MS);
            Http answer = client.send("POST", "/reject/" + id, Lab.headers(id, DEADLINE_MS), new byte[200]);
            return new Sent("order", id, atMs, Lab.nowMs() - atMs, "" + answer.status());
        } catch (Exception e) {
            return new Sent("order", id, atMs, Math.max(Lab.nowMs() - atMs, DEADLINE_MS), "no answer (" + e.getMessage() + ")");
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void close(Client client) {
        try {
            if (client != null) client.close();
        } catch (Exception e) {
            // The connection is closed already.
        }
    }
}
