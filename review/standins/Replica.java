package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica as PROTOCOL.md describes it. A request runs once it has a slot. The replica queues
 * QUEUE more, and rejects others with 503 and Not-Executed.
 */
class Replica implements AutoCloseable {
    private static final int QUEUE = 24;

    final Rig rig;
    final String id;
    final String service;
    final int slots;
    final int workMs;
    final int events;
    final int gapMs;
    final AtomicInteger inside = new AtomicInteger();
    private final Semaphore free;
    final Http.Server server;
    private final String zone;

    /** With events above 0, answers are streams of that many events, gapMs apart. */
    Replica(Rig rig, String id, String service, String zone, int slots, int workMs, int events, int gapMs)
        throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMs = workMs;
        this.events = events;
        this.gapMs = gapMs;
        free = new Semaphore(slots, true);
        server = new Http.Server("127.0.0.1", 0, this::serve);
        register("ready");
    }

    void register(String state) {
        rig.store.put("servers", id, entry(service, server.address(), zone, slots, state));
    }

    static String entry(String service, String address, String zone, int slots, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
            + "\",\"cold_left_ms\":0,\"call_seq\":0,\"born\":" + Rig.START_MS + "}";
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        while (true) {
            Http.Message request = Http.readHead(in);
            if (request == null) return;
            Http.readBody(in, request);
            String expected = request.header("Expect-Replica");
            if (expected != null && !expected.equals(id)) {
                out.write(Http.response(421, List.of("Replica-Id: " + id), new byte[0]));
            } else if (!handle(request, socket, out)) {
                return;
            }
        }
    }

    /** Answers a request; returns whether the channel is kept. */
    boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        try {
            if (inside.incrementAndGet() > slots + QUEUE) {
                shed(request, out);
                return true;
            }
            free.acquire();
            try {
                run(request, out);
            } finally {
                free.release();
            }
        } finally {
            inside.decrementAndGet();
        }
        return true;
    }

    void shed(Http.Message request, OutputStream out) throws Exception {
        rig.record("shed", id, request.header("Request-Id"));
        out.write(shedResponse(request));
    }

    byte[] shedResponse(Http.Message request) throws IOException {
        return Http.response(
            503,
            List.of("Not-Executed: 1", "Request-Id: " + request.header("Request-Id")),
            new byte[0]
        );
    }

    void run(Http.Message request, OutputStream out) throws Exception {
        rig.record("run", id, request.header("Request-Id"));
        rig.onRun(request.header("Request-Id"), id);
        Thread.sleep(workMs);
        if (events == 0) {
            out.write(Http.response(200, answerHeaders(request), Http.bytes("answer to " + request.header("Request-Id"))));
            return;
        }
        startStream(request, out);
        for (int i = 1; i <= events; i++) {
            Thread.sleep(gapMs);
            chunk(out, Http.bytes("id: " + i + "\ndata: piece " + i + "\n\n"));
        }
        out.write(Http.bytes("0\r\n\r\n"));
    }

    List<String> answerHeaders(Http.Message request) {
        List<String> headers = new ArrayList<>();
        headers.add("Request-Id: " + request.header("Request-Id"));
        headers.add("Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1");
        headers.add("Replica-Load: " + Math.min(inside.get(), slots) + "," + Math.max(0, inside.get() - slots) + "," + slots);
        return headers;
    }

    void startStream(Http.Message request, OutputStream out) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        for (String header : answerHeaders(request)) head.append(header).append("\r\n");
        out.write(Http.bytes(head + "Transfer-Encoding: chunked\r\n\r\n"));
    }

    static void chunk(OutputStream out, byte[] bytes) throws IOException {
        byte[] head = Http.bytes(Integer.toHexString(bytes.length) + "\r\n");
        byte[] all = new byte[head.length + bytes.length + 2];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(bytes, 0, all, head.length, bytes.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        out.write(all);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
