package stand2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final BufferedInputStream in;
    private final OutputStream out;

    Client(String ip, int port) throws IOException {
        this(ip, port, 0);
    }

    /** Connects with a receive buffer of [receiveBytes], or the system's usual one if that is 0. */
    Client(String ip, int port, int receiveBytes) throws IOException {
        socket.setTcpNoDelay(true);
        if (receiveBytes > 0) socket.setReceiveBufferSize(receiveBytes);
        socket.connect(new InetSocketAddress(ip, port), 1_000);
        socket.setSoTimeout(20_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Sends a request; [headers] are lines that end with CR LF. */
    void write(String method, String target, String headers, byte[] body) throws IOException {
        String head = method + " " + target + " HTTP/1.1\r\n" + (headers.contains("Host:") ? "" : "Host: any\r\n") + headers
            + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Reads the answer, or returns null if the connection was closed without one. */
    Http read(boolean isHead) throws IOException {
        return Http.read(in, true, isHead);
    }

    Http send(String method, String target, String headers, byte[] body) throws IOException {
        write(method, target, headers, body);
        Http answer = read(method.equals("HEAD"));
        if (answer == null) throw new IOException("the connection was closed without an answer");
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
