import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sound replicas fall silent for a moment and go on, one at a time, while the others break a few of
 * their streams off after their heads. Clients have streams on kept channels.
 */
final class SilentReplica {
    private static final int SLOTS = 30;
    private static final int REPLICAS = 12;
    private static final int SOUND = 6;
    private static final int CLIENTS = 240;
    private static final int EVENTS = 20;
    private static final int INTERVAL_MS = 200;
    private static final int PERIODS = 12;
    private static final long SILENCE_MS = 1_400;
    private static final long SILENCE_EVERY_MS = 1_500;

    /** The trouble lasts for 5 s at a time. */
    private static final long PERIOD_MS = 6_000;
    private static final long TROUBLE_MS = 5_000;
    private static final double BROKEN_SHARE = 0.05;
    private static final int MAX_CLOSED = 3;

    public static void main(String[] arguments) {
        Rig.main(arguments, SilentReplica::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Store.Entrance entrance = rig.store.open();
        rig.putStreamingManifest(3, "model", SLOTS);
        List<Replica> replicas = new ArrayList<>();
        for (int number = 1; number <= REPLICAS; number++) {
            Replica replica = new Replica(rig, String.format("i-%04d", number), "model", "zone-" + "abc".charAt((number - 1) % 3), SLOTS);
            replica.start("v1");
            replicas.add(replica);
        }
        rig.startEdges(List.of(entrance.address(), entrance.address()));
        AtomicInteger complete = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        AtomicInteger closedElsewhere = new AtomicInteger();
        long untilMs = System.currentTimeMillis() + PERIODS * PERIOD_MS + CLIENTS * 20L;
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            Rig.Edge edge = rig.edges.get(0);
            clients.add(Rig.daemon(() -> {
                while (System.currentTimeMillis() < untilMs) {
                    serve(rig, edge, untilMs, replicas.subList(0, SOUND), complete, closed, closedElsewhere);
                }
            }));
            Rig.sleep(20);
        }
        long startMs = System.currentTimeMillis();
        List<Replica> others = replicas.subList(SOUND, REPLICAS);
        Thread silences = Rig.daemon(() -> {
            for (int number = 0; number * SILENCE_EVERY_MS < PERIODS * PERIOD_MS; number++) {
                Replica silent = replicas.get(number % SOUND);
                rig.record("replica %s is silent for %d ms", silent.id, SILENCE_MS);
                silent.silentUntilMs = System.currentTimeMillis() + SILENCE_MS;
                Rig.sleep(startMs + (number + 1) * SILENCE_EVERY_MS - System.currentTimeMillis());
            }
        });
        for (int period = 0; period < PERIODS; period++) {
            if (!Rig.isUndisturbed()) {
                others.forEach(it -> it.brokenStreamShare = BROKEN_SHARE);
                rig.record("replicas %s to %s are in trouble", others.get(0).id, others.get(others.size() - 1).id);
            }
            Rig.sleep(TROUBLE_MS);
            others.forEach(it -> it.brokenStreamShare = 0);
            rig.record("all replicas are sound");
            Rig.sleep(PERIOD_MS - TROUBLE_MS);
        }
        silences.join();
        for (Thread client : clients) client.join(20_000);
        String result = String.format("%d streams complete; %d channels closed within the answer to a request that a sound"
            + " replica had got (at most %d allowed), %d others", complete.get(), closed.get(), MAX_CLOSED, closedElsewhere.get());
        rig.record("%s", result);
        System.out.println(result);
        return closed.get() <= MAX_CLOSED;
    }

    /** Sends streams on one channel until it is closed. */
    private static void serve(Rig rig, Rig.Edge edge, long untilMs, List<Replica> sound,
            AtomicInteger complete, AtomicInteger closed, AtomicInteger closedElsewhere) {
        boolean isKept = false;
        String id = "";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(edge.ip, rig.frontPort), 1_000);
            socket.setSoTimeout(15_000);
            InputStream in = Http.buffered(socket.getInputStream());
            while (System.currentTimeMillis() < untilMs) {
                id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
                int events = isKept ? EVENTS : 1;
                Http.write(socket.getOutputStream(), "POST /chat/" + events + "/" + INTERVAL_MS + " HTTP/1.1\r\n"
                    + "Host: service.example\r\nRequest-Id: " + id + "\r\nModel: m\r\nToken-Usage: 100," + events
                    + "\r\nPrompt-Prefix: 5c1e07a2:60," + id.substring(0, 8) + ":40\r\nDeadline-Ms: 15000\r\n"
                    + "X-Api-Key: key-1\r\nContent-Length: 2\r\n\r\n{}");
                Http.Head head = Http.readHead(in);
                if (head == null) throw new IOException("closed without an answer");
                Http.readBody(in, head);
                if (head.status() == 200) {
                    complete.incrementAndGet();
                } else {
                    Rig.sleep(300);
                }
                isKept = true;
            }
        } catch (IOException broken) {
            String request = id;
            boolean isOfSound = isKept && sound.stream().anyMatch(it -> it.reached.contains(request));
            (isOfSound ? closed : closedElsewhere).incrementAndGet();
            rig.record("client: %s at %s: %s, sound replica had it: %s", id, edge.name, broken.getMessage(), isOfSound);
        }
    }
}
