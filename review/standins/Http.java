package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Minimal HTTP/1.1 over blocking sockets, for the stand-ins of the cases. */
final class Http {
    private Http() {}

    /** A request head or response head with its body. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    /** Reads up to the empty line; returns null if the peer closed before the first byte. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in, true);
        if (line == null) return null;
        Message message = new Message();
        message.startLine = line;
        while (true) {
            line = readLine(in, false);
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("header without colon: " + line);
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    static void readBody(InputStream in, Message message) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            while (readChunk(in, body)) {
                // readChunk appends to the body
            }
        } else if (message.header("Content-Length") != null) {
            int length = Integer.parseInt(message.header("Content-Length"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) throw new EOFException("closed within the body");
            body.write(bytes);
        }
        message.body = body.toByteArray();
    }

    /** Reads one chunk; returns false after the last one. */
    static boolean readChunk(InputStream in, ByteArrayOutputStream body) throws IOException {
        int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("closed within a chunk");
        body.write(bytes);
        readLine(in, false);
        return size > 0;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (mayEnd && line.size() == 0) return null;
                throw new EOFException("closed within a head");
            }
            if (b == '\n') break;
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static byte[] response(int status, List<String> headers, byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(bytes("HTTP/1.1 " + status + " Status\r\n"));
        for (String header : headers) out.write(bytes(header + "\r\n"));
        out.write(bytes("Content-Length: " + body.length + "\r\n\r\n"));
        out.write(body);
        return out.toByteArray();
    }

    /** Serves a connection until it ends. */
    interface Handler {
        void serve(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** Accepts connections on a loopback address, one thread each. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket = new ServerSocket();
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String ip, int port, Handler handler) throws IOException {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
            Rig.daemon("accept", () -> {
                while (true) {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    open.add(accepted);
                    Rig.daemon("serve", () -> {
                        try (accepted) {
                            handler.serve(
                                accepted,
                                new BufferedInputStream(accepted.getInputStream()),
                                accepted.getOutputStream()
                            );
                        } finally {
                            open.remove(accepted);
                        }
                    });
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + port();
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket each : new ArrayList<>(open)) each.close();
        }
    }
}
