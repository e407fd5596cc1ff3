package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The platform's metadata store: lists and watches as PROTOCOL.md describes them. */
final class Store implements AutoCloseable {
    private record Entry(String kind, String name, long revision, String spec) {}

    private final List<Entry> history = new ArrayList<>();
    private long revision = 100;
    private final Http.Server server;

    Store() throws IOException {
        server = new Http.Server("127.0.0.1", 0, this::serve);
    }

    String address() {
        return server.address();
    }

    /** Writes an object and returns when the write is acknowledged. */
    synchronized void put(String kind, String name, String specJson) {
        history.add(new Entry(kind, name, ++revision, specJson));
        notifyAll();
    }

    synchronized void remove(String kind, String name) {
        history.add(new Entry(kind, name, ++revision, null));
        notifyAll();
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        while (true) {
            Http.Message request = Http.readHead(in);
            if (request == null) return;
            Http.readBody(in, request);
            String[] parts = request.target().split("\\?", 2);
            String kind = parts[0].replaceFirst("^/objects/", "").split("/")[0];
            Map<String, String> query = new HashMap<>();
            if (parts.length > 1) {
                for (String pair : parts[1].split("&")) query.put(pair.split("=")[0], pair.split("=")[1]);
            }
            String body = query.containsKey("watch")
                ? watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")))
                : list(kind);
            Thread.sleep(4);
            out.write(Http.response(200, List.of("Content-Type: application/json"), Http.bytes(body)));
        }
    }

    private synchronized String list(String kind) {
        Map<String, Entry> latest = new TreeMap<>();
        for (Entry entry : history) if (entry.kind.equals(kind)) latest.put(entry.name, entry);
        String items = latest.values().stream().filter(e -> e.spec != null).map(Store::json)
            .collect(Collectors.joining(","));
        return "{\"items\":[" + items + "],\"more\":false,\"current_rev\":" + revision + "}";
    }

    private synchronized String watch(String kind, long after, long waitMs) throws InterruptedException {
        long end = System.currentTimeMillis() + waitMs;
        while (true) {
            List<Entry> news = history.stream()
                .filter(e -> e.kind.equals(kind) && e.revision > after).toList();
            long left = end - System.currentTimeMillis();
            if (!news.isEmpty() || left <= 0) {
                String events = news.stream()
                    .map(e -> "{\"tombstone\":" + (e.spec == null) + ",\"object\":" + json(e) + "}")
                    .collect(Collectors.joining(","));
                return "{\"events\":[" + events + "],\"current_rev\":" + revision + "}";
            }
            wait(left);
        }
    }

    private static String json(Entry entry) {
        return "{\"metadata\":{\"name\":\"" + entry.name + "\",\"revision\":" + entry.revision
            + ",\"created\":" + entry.revision + ",\"finalizers\":[],\"deleting\":false},\"spec\":"
            + entry.spec + ",\"status\":null}";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
