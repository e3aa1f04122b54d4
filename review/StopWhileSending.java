package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Three clients, on lines with small windows and 20 Mbit/s, ask for answers of 3.9 MB. The worker has each answer ready after 4.0 s. With
 * trouble the host gets SIGTERM 0.3 s after the requests, with a grace of 6 s.
 */
public final class StopWhileSending extends Case {
    private static final int ANSWER_BYTES = 3_900_000;
    private static final int WORK_MS = 4_000;
    private static final int BYTES_PER_S = 2_500_000;
    private static final int WINDOW_BYTES = 16 * 1_024;
    private static final int TIMEOUT_MS = 10_000;

    private static final class BigWorker extends Worker {
        BigWorker(String id, String zone) throws IOException {
            super(id, Desired.SERVICE, zone);
        }

        @Override
        protected boolean run(Http request, OutputStream out) throws IOException {
            sleep(WORK_MS);
            answer(request, out, 200, new byte[ANSWER_BYTES]);
            return true;
        }
    }

    private final List<String> broken = new ArrayList<>();
    private volatile long termAtMs;

    public static void main(String[] args) {
        Case.main(new StopWhileSending(), Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        startFleet(1, Desired.state(1, TIMEOUT_MS, Desired.tenant("kaje80", "key-1")),
            List.of(new BigWorker("w1", "casa-a"), new BigWorker("w2", "casa-a"), new BigWorker("w3", "casa-b")));
        Host host = hosts.get(0);
        sleep(5_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String id = "big-" + i;
            Thread client = new Thread(() -> download(host, id));
            client.start();
            clients.add(client);
        }
        sleep(300);
        if (hasTrouble) {
            host.signal("TERM");
            termAtMs = System.currentTimeMillis();
            note("SIGTERM; SIGKILL would come 6 s later");
        }
        for (Thread client : clients) client.join(15_000);
        if (hasTrouble) {
            boolean hasExited = host.process.waitFor(3, TimeUnit.SECONDS);
            note(hasExited ? "the host has exited with " + host.process.exitValue() : "the host still runs");
        }
        synchronized (broken) {
            note(broken.size() + " of 3 answers were cut off");
            return broken.isEmpty() ? HELD : BROKEN;
        }
    }

    private void download(Host host, String id) {
        long read = 0;
        String end;
        int length = -1;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(WINDOW_BYTES);
            socket.connect(new InetSocketAddress(host.ip, host.callers), 1_000);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(head("GET", Desired.SAFE + id, id, "key-1", TIMEOUT_MS, 0).getBytes(StandardCharsets.ISO_8859_1));
            note(id + " sent");
            InputStream in = socket.getInputStream();
            Http head = Http.readHead(in);
            if (head != null) length = Integer.parseInt(head.header("Content-Length"));
            long start = System.currentTimeMillis();
            note(id + ": the head of the answer is there, " + (head == null ? "none" : head.status()) + ", " + length + " bytes");
            byte[] buffer = new byte[8 * 1_024];
            while (read < length) {
                int count = in.read(buffer, 0, (int) Math.min(buffer.length, length - read));
                if (count < 0) break;
                read += count;
                long aheadMs = start + read * 1_000 / BYTES_PER_S - System.currentTimeMillis();
                if (aheadMs > 0) sleep((int) aheadMs);
            }
            end = read == length ? "whole" : "CUT by the end of the connection";
        } catch (IOException e) {
            end = "CUT: " + e.getMessage();
        }
        note(id + ": " + read + " of " + length + " bytes, " + end + (termAtMs == 0 ? "" : ", " + (System.currentTimeMillis() - termAtMs) + " ms after SIGTERM"));
        if (!end.equals("whole")) {
            synchronized (broken) {
                broken.add(id);
            }
        }
    }
}
