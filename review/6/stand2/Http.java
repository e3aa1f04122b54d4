package stand2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message as it was read: first line, headers with names in lower case, and the whole body. */
final class Http {
    final String first;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    private Http(String first) {
        this.first = first;
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String method() {
        return first.split(" ")[0];
    }

    String target() {
        return first.split(" ")[1];
    }

    /** Reads a message, or returns null if the stream ends before its first byte. Ends early in its middle: EOFException. */
    static Http read(InputStream in, boolean isResponse, boolean hasNoBody) throws IOException {
        Http message = readHead(in);
        if (message == null) return null;
        if (!hasNoBody) message.readBody(in, isResponse);
        return message;
    }

    static Http readHead(InputStream in) throws IOException {
        String first = line(in, true);
        if (first == null) return null;
        Http message = new Http(first);
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            message.headers.merge(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim(), (a, b) -> a + "," + b);
        }
        return message;
    }

    void readBody(InputStream in, boolean isResponse) throws IOException {
        String length = header("content-length");
        if ("chunked".equalsIgnoreCase(header("transfer-encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
                if (size == 0) break;
                out.write(exactly(in, size));
                line(in, false);
            }
            while (!line(in, false).isEmpty()) { }
            body = out.toByteArray();
        } else if (length != null) {
            body = exactly(in, Integer.parseInt(length));
        } else if (isResponse) {
            body = in.readAllBytes();
        }
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("the message ended after " + bytes.length + " of " + size + " bytes");
        return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (mayEnd && out.size() == 0) return null;
                throw new EOFException("the message ended in its head");
            }
            if (b == '\n') break;
            out.write(b);
        }
        String text = out.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
