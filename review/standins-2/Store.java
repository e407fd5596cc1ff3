import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for the platform's metadata store: objects by kind and name with revisions, listings,
 * watches and conditional writes. Each {@link Entrance} is a port at which it may turn calls away.
 */
final class Store {
    private static final class Event {
        final long revision;
        final String kind;
        final boolean tombstone;
        final Map<String, Object> object;

        Event(long revision, String kind, boolean tombstone, Map<String, Object> object) {
            this.revision = revision;
            this.kind = kind;
            this.tombstone = tombstone;
            this.object = object;
        }
    }

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new LinkedHashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;

    /**
     * One port of the store. While it is busy, each call gets 503 and waiting watches are cut. While
     * it is cut off, nothing is answered; the channels that were open meanwhile are closed afterwards.
     */
    final class Entrance {
        final ServerSocket server;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private volatile boolean isBusy;
        private volatile boolean isCutOff;

        Entrance() throws IOException {
            server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            Rig.daemon(this::acceptAll);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        void setBusy(boolean busy) {
            isBusy = busy;
            if (busy) sockets.forEach(Rig::closeQuietly);
        }

        void setCutOff(boolean cutOff) {
            isCutOff = cutOff;
            if (!cutOff) sockets.forEach(Rig::closeQuietly);
        }

        private void acceptAll() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    Rig.daemon(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = Http.buffered(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Http.Head head = Http.readHead(in);
                    if (head == null) return;
                    String body = new String(Http.readBody(in, head), StandardCharsets.UTF_8);
                    java.io.ByteArrayOutputStream answer = new java.io.ByteArrayOutputStream();
                    if (isBusy) {
                        Http.respond(answer, 503, "", "");
                    } else if (!isCutOff) {
                        handle(head, body, answer);
                    }
                    while (isCutOff) Thread.sleep(20);
                    out.write(answer.toByteArray());
                    out.flush();
                }
            } catch (IOException | InterruptedException gone) {
                // The caller has closed the connection, or the store has.
            } finally {
                sockets.remove(socket);
            }
        }
    }

    Entrance open() throws IOException {
        return new Entrance();
    }

    /** Writes the object as its owner, without a condition. */
    synchronized void put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> known = of(kind).get(name);
        if (known != null && known.get("spec").equals(spec)) return;
        save(kind, name, spec, known == null ? null : known.get("status"), known);
    }

    /** Removes the object as its owner, if it exists. */
    synchronized void remove(String kind, String name) {
        Map<String, Object> known = of(kind).remove(name);
        if (known == null) return;
        history.add(new Event(++revision, kind, true, known));
        notifyAll();
    }

    synchronized Map<String, Object> get(String kind, String name) {
        return of(kind).get(name);
    }

    private TreeMap<String, Map<String, Object>> of(String kind) {
        return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    @SuppressWarnings("unchecked")
    private Map<String, Object> save(
            String kind, String name, Object spec, Object status, Map<String, Object> known) {
        revision++;
        Object created = known == null ? revision : ((Map<String, Object>) known.get("metadata")).get("created");
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put("created", created);
        metadata.put("finalizers", new ArrayList<>());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", status);
        of(kind).put(name, object);
        history.add(new Event(revision, kind, false, object));
        notifyAll();
        return object;
    }

    private void handle(Http.Head head, String body, OutputStream out)
            throws IOException, InterruptedException {
        String[] parts = head.target().split("\\?", 2);
        String[] path = parts[0].split("/");
        Map<String, String> query = new LinkedHashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                String[] field = pair.split("=", 2);
                query.put(field[0], field.length > 1 ? field[1] : "");
            }
        }
        String kind = path[2];
        String name = path.length > 3 ? URLDecoder.decode(path[3], StandardCharsets.UTF_8) : null;
        boolean isStatus = path.length > 4 && path[4].equals("status");
        String response;
        int status = 200;
        if (head.method().equals("GET") && name == null && query.containsKey("watch")) {
            response = watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
        } else {
            synchronized (this) {
                Map<String, Object> known = name == null ? null : of(kind).get(name);
                switch (head.method()) {
                    case "GET" -> {
                        if (name == null) {
                            Map<String, Object> list = new LinkedHashMap<>();
                            list.put("items", new ArrayList<>(of(kind).values()));
                            list.put("more", false);
                            list.put("current_rev", revision);
                            response = Json.write(list);
                        } else if (known == null) {
                            status = 404;
                            response = "{}";
                        } else {
                            response = Json.write(known);
                        }
                    }
                    case "POST" -> {
                        Map<String, Object> sent = Json.object(body);
                        String created = (String) metadata(sent).get("name");
                        Map<String, Object> existing = of(kind).get(created);
                        status = existing == null ? 200 : 409;
                        response = Json.write(existing == null ? save(kind, created, sent.get("spec"), null, null) : existing);
                    }
                    case "PUT" -> {
                        Map<String, Object> sent = Json.object(body);
                        Object condition = metadata(sent).get("revision");
                        if (known == null) {
                            status = 404;
                            response = "{}";
                        } else if (condition != null && !condition.equals(metadata(known).get("revision"))) {
                            status = 409;
                            response = Json.write(known);
                        } else {
                            Object spec = isStatus ? known.get("spec") : sent.get("spec");
                            Object state = isStatus ? sent.get("status") : known.get("status");
                            boolean isSame = java.util.Objects.equals(spec, known.get("spec"))
                                && java.util.Objects.equals(state, known.get("status"));
                            response = Json.write(isSame ? known : save(kind, name, spec, state, known));
                        }
                    }
                    default -> {
                        String condition = query.get("revision");
                        boolean isOutdated = known != null && condition != null
                            && !condition.equals(String.valueOf(metadata(known).get("revision")));
                        status = known == null ? 404 : isOutdated ? 409 : 200;
                        response = known == null ? "{}" : Json.write(known);
                        if (status == 200) remove(kind, name);
                    }
                }
            }
        }
        Http.respond(out, status, "Content-Type: application/json\r\n", response);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> metadata(Map<String, Object> object) {
        Object metadata = object.get("metadata");
        return metadata == null ? Map.of() : (Map<String, Object>) metadata;
    }

    private synchronized String watch(String kind, long since, long waitMs) throws InterruptedException {
        long untilMs = System.currentTimeMillis() + waitMs;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision <= since || !event.kind.equals(kind)) continue;
                Map<String, Object> entry = new LinkedHashMap<>();
                entry.put("tombstone", event.tombstone);
                entry.put("object", event.object);
                events.add(entry);
            }
            long leftMs = untilMs - System.currentTimeMillis();
            if (!events.isEmpty() || leftMs <= 0) {
                Map<String, Object> result = new LinkedHashMap<>();
                result.put("events", events);
                result.put("current_rev", revision);
                return Json.write(result);
            }
            wait(leftMs);
        }
    }
}
