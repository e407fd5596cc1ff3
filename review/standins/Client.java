package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

/** A client that keeps its channel for many requests and gives up at its time limit. */
final class Client implements AutoCloseable {
    /** The end of a request as the client saw it. Status 0: none; the detail tells why. */
    record Answer(String id, int status, String body, long tookMs, String detail) {}

    /**
     * The rule CONFIG on time-outs: of the requests that are unanswered at their route's timeout_ms,
     * eight or more, and over a quarter, have no answer half a second later.
     */
    static boolean breaksTimeoutRule(Rig rig, List<Answer> answers, int timeoutMs) {
        long unanswered = answers.stream().filter(a -> a.tookMs() >= timeoutMs).count();
        long later = answers.stream().filter(a -> a.tookMs() >= timeoutMs + 500).count();
        rig.record("count", answers.size() + " requests, unanswered at timeout_ms " + unanswered
            + ", half a second later " + later);
        return later >= 8 && later * 4 > unanswered;
    }

    private final Rig rig;
    private final String ip;
    private final String key;
    private Socket socket;
    private InputStream in;

    Client(Rig rig, String ip, String key) {
        this.rig = rig;
        this.ip = ip;
        this.key = key;
    }

    /** Sends a request on the kept channel, or on a new one, and waits up to limitMs for its answer. */
    Answer send(String method, String path, int limitMs, String extraHeaders, byte[] body) {
        String id = rig.nextId();
        long start = System.nanoTime();
        rig.record("sent", ip, id, method + " " + path);
        Answer answer;
        try {
            if (socket == null) connect();
            String head = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: " + limitMs + "\r\nX-Api-Key: " + key + "\r\n" + extraHeaders
                + "Content-Length: " + body.length + "\r\n\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(Http.bytes(head));
            all.write(body);
            socket.setSoTimeout(limitMs + 1_500);
            socket.getOutputStream().write(all.toByteArray());
            Http.Message response = Http.readHead(in);
            if (response == null) throw new IOException("closed without an answer");
            Http.readBody(in, response);
            answer = new Answer(id, response.status(), new String(response.body), ms(start), "");
            if ("close".equalsIgnoreCase(response.header("Connection"))) close();
        } catch (IOException cause) {
            answer = new Answer(id, 0, "", ms(start), String.valueOf(cause.getMessage()));
            close();
        }
        rig.record("answered", ip, id, answer.status + " after " + answer.tookMs + " ms " + answer.detail);
        return answer;
    }

    Answer get(String path, int limitMs) {
        return send("GET", path, limitMs, "", new byte[0]);
    }

    private void connect() throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, rig.frontPort), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    private static long ms(long startNs) {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException ignored) {
            // closed either way
        }
        socket = null;
    }
}
