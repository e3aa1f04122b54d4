package stand2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a worker, as PROTOCOL.md describes it: it runs what expects it, and answers with its stamp and the request's id. */
class Worker implements AutoCloseable {
    /** A request that the worker has begun to run. */
    record Run(String id, String method, String target, byte[] body, String tenant, String deadline, long atMs) { }

    final String id;
    final String service;
    final String zone;
    final int slots;
    final long bornMs = System.currentTimeMillis();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final ServerSocket socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    protected final AtomicInteger running = new AtomicInteger();
    private long sequence;
    volatile long serviceMs;
    volatile int bodyBytes = 400;

    Worker(String id, String service, String zone, int slots, long serviceMs) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.serviceMs = serviceMs;
        Lab.daemon(() -> {
            while (true) {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                open.add(accepted);
                Lab.daemon(() -> {
                    try (accepted) {
                        serve(accepted);
                    } finally {
                        open.remove(accepted);
                    }
                });
            }
        });
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Entry of the worker in the store; each call is the next heartbeat. */
    synchronized String entry(String state) {
        return "{\"address\":\"" + address() + "\",\"born\":" + bornMs + ",\"info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\""
            + zone + "\",\"slots\":" + slots + "},\"status\":{\"state\":\"" + state + "\",\"sequence\":" + ++sequence + ",\"coldLeftMs\":0}}";
    }

    private void serve(Socket connection) throws Exception {
        BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        for (Http request = Http.read(in, false, false); request != null; request = Http.read(in, false, false)) {
            String requestId = request.header("request-id");
            if (!id.equals(request.header("expect-instance"))) {
                send(out, 421, requestId, "Instance-Id: " + id + "\r\nNot-Executed: 1\r\n", new byte[0]);
                continue;
            }
            answer(request, requestId, out);
        }
    }

    /** Runs [request] and answers it. */
    protected void answer(Http request, String requestId, OutputStream out) throws Exception {
        run(request, requestId);
        send(out, 200, requestId, stamp(requestId), new byte[bodyBytes]);
    }

    protected String stamp(String requestId) {
        return "Server-Stamp: " + id + "." + requestId + "\r\nServer-Load: " + running.get() + ",0," + slots + "\r\n";
    }

    protected void run(Http request, String requestId) throws InterruptedException {
        runs.add(new Run(requestId, request.method(), request.target(), request.body, request.header("tenant-name"),
            request.header("request-deadline"), Lab.nowMs()));
        running.incrementAndGet();
        Thread.sleep(serviceMs);
        running.decrementAndGet();
    }

    protected void send(OutputStream out, int status, String requestId, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + (requestId == null ? "" : "Request-Id: " + requestId + "\r\n") + headers
            + "Keep-Alive: timeout=10\r\nContent-Length: " + body.length + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        out.write(all);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket connection : open) connection.close();
    }
}
