package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 message as it was read from a socket. */
final class Http {
    final String startLine;
    final List<String[]> headers;
    byte[] body = new byte[0];
    /** Whether the body came whole, as far as its framing tells. */
    boolean isComplete;

    private Http(String startLine, List<String[]> headers) {
        this.startLine = startLine;
        this.headers = headers;
    }

    String header(String name) {
        for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
        return null;
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String target() {
        return startLine.split(" ")[1];
    }

    /** Reads one message; returns null if the stream ends before its first byte. */
    static Http read(InputStream in, boolean isRequest) throws IOException {
        Http message = readHead(in);
        if (message != null) message.readBody(in, isRequest);
        return message;
    }

    static Http readHead(InputStream in) throws IOException {
        String startLine = line(in);
        if (startLine == null) return null;
        List<String[]> headers = new ArrayList<>();
        while (true) {
            String line = line(in);
            if (line == null) throw new EOFException("the head ends early");
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
        return new Http(startLine, headers);
    }

    void readBody(InputStream in, boolean isRequest) throws IOException {
        String length = header("Content-Length");
        if (length != null) {
            body = in.readNBytes(Integer.parseInt(length));
            isComplete = body.length == Integer.parseInt(length);
        } else if ("chunked".equalsIgnoreCase(header("Transfer-Encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) break;
                int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                byte[] part = in.readNBytes(count);
                out.write(part);
                if (line(in) == null || part.length < count) break;
                if (count == 0) {
                    isComplete = true;
                    break;
                }
            }
            body = out.toByteArray();
        } else if (!isRequest) {
            body = in.readAllBytes();
            isComplete = true;
        } else {
            isComplete = true;
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("a line ends early");
            }
            if (b == '\n') return out.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
            out.write(b);
        }
    }
}
