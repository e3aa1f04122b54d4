package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in of a worker: it runs each request that names it, and answers with the request's id and its stamp. */
class Worker implements AutoCloseable {
    /** A request that this worker ran. */
    record Run(String worker, String id, String method, String target, String tenant, int bodyBytes, long atMs) {}

    final String id;
    final String service;
    final String zone;
    final int port;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();

    Worker(String id, String service, String zone) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        port = Ports.free("127.0.0.1");
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_024);
        daemon(this::accept);
    }

    /** The entry that this worker writes of itself into the store. */
    String entry() {
        return "{\"address\":\"127.0.0.1:" + port + "\",\"born\":" + born + ",\"info\":{\"service\":\"" + service
            + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":64},\"status\":{\"state\":\"ready\",\"sequence\":1,\"coldLeftMs\":0}}";
    }

    /** Runs a request and answers it; returns whether the connection stays open. */
    protected boolean run(Http request, OutputStream out) throws IOException {
        answer(request, out, 200, ("answer of " + id + " to " + request.header("Request-Id")).getBytes(StandardCharsets.UTF_8));
        return true;
    }

    protected final void answer(Http request, OutputStream out, int status, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\nRequest-Id: " + request.header("Request-Id") + "\r\nServer-Stamp: " + stamp(request)
            + "\r\nContent-Length: " + body.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    final String stamp(Http request) {
        return id + "." + request.header("Request-Id");
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            // already closed
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http request = Http.read(in, true);
                if (request == null || !request.isComplete) return;
                String expected = request.header("Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    out.write(("HTTP/1.1 421 X\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                    continue;
                }
                runs.add(new Run(id, request.header("Request-Id"), request.method(), request.target(), request.header("Tenant-Name"),
                    request.body.length, System.currentTimeMillis()));
                if (!run(request, out)) return;
            }
        } catch (IOException e) {
            // the connection is over
        }
    }

    static void sleep(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1_024);
        thread.setDaemon(true);
        thread.start();
    }
}
