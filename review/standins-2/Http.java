import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {
    private Http() {}

    /** The first line and the headers of a message; names are in lower case. */
    static final class Head {
        String line;
        final Map<String, String> headers = new LinkedHashMap<>();

        String get(String name) {
            return headers.get(name.toLowerCase());
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Returns the next head, or null if the input ends before it. */
    static Head readHead(InputStream in) throws IOException {
        Head head = new Head();
        head.line = readLine(in);
        if (head.line == null) return null;
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("end within a head");
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (line.length() == 0) return null;
                throw new EOFException("end within a line");
            }
            if (c == '\n') break;
            line.append((char) c);
        }
        int end = line.length();
        if (end > 0 && line.charAt(end - 1) == '\r') line.setLength(end - 1);
        return line.toString();
    }

    /** Reads the body of a message that has a length, chunks, or no body. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.get("transfer-encoding"))) {
            java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk == null) return body.toByteArray();
                body.write(chunk);
            }
        }
        String length = head.get("content-length");
        return readExactly(in, length == null ? 0 : Integer.parseInt(length));
    }

    /** Returns the next chunk, or null after the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException("end before a chunk");
        int size = Integer.parseInt(line.split(";")[0].trim(), 16);
        byte[] chunk = readExactly(in, size);
        readLine(in);
        return size == 0 ? null : chunk;
    }

    private static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("end within a body");
        return bytes;
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Writes a complete response with [headers], each ended by CR LF. */
    static void respond(OutputStream out, int status, String headers, String body) throws IOException {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        write(out, "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + length + "\r\n\r\n" + body);
    }
}
