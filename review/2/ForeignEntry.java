package review;

import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Another writer puts one entry among the servers, in which a field is of another type: a deeply
 * nested list. Afterwards a replica reports draining. No request may reach it later than drain_ms
 * after the store's ack.
 */
final class ForeignEntry {
    private static final int DRAIN_MS = 2_000;
    
    /** An entry of 4 KB; the store takes value_bytes, 1 MB. */
    private static final int DEPTH = 2_000;

    private static final int CLIENTS = 8;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], 2, ForeignEntry::run);
    }

    private static boolean run(Rig rig) throws Exception {
        AtomicLong ackedAt = new AtomicLong(Long.MAX_VALUE);
        List<Long> lateArrivals = new CopyOnWriteArrayList<>();
        rig.store.put("config", "main", Rig.manifest(7, Rig.ROUTES));
        List<Replica> replicas = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int number = i;
            replicas.add(new Replica(rig, "i-guide" + i, "guide-api", "zone-a", 6, 20, 0, 0) {
                @Override
                boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
                    long sinceAck = System.currentTimeMillis() - ackedAt.get();
                    if (number == 0 && sinceAck > DRAIN_MS) lateArrivals.add(sinceAck);
                    return super.handle(request, socket, out);
                }
            });
        }
        rig.startAll();
        AtomicBoolean isOver = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(rig, rig.ips.get(i % rig.ips.size()), "key-1");
            clients.add(Rig.daemon("client", () -> {
                while (!isOver.get()) {
                    client.get("/lookup/1", 1_000);
                    Thread.sleep(100);
                }
            }));
        }
        Thread.sleep(4_000);
        if (Rig.TROUBLE) {
            rig.store.put("servers", "other-writer", foreignEntry());
            rig.record("foreign", "entry written");
        }
        Thread.sleep(5_000);
        replicas.get(0).register("draining");
        ackedAt.set(System.currentTimeMillis());
        rig.record("draining", "i-guide0 acknowledged");
        Thread.sleep(12_000);
        isOver.set(true);
        for (Thread thread : clients) thread.join();
        for (String ip : rig.ips) rig.recordLog(ip, "StackOverflowError", 2);
        rig.record("count", "requests that reached i-guide0 later than drain_ms after the ack: " + lateArrivals.size()
            + ", the last after " + lateArrivals.stream().mapToLong(v -> v).max().orElse(0) + " ms");
        return lateArrivals.isEmpty();
    }

    /** A field missing, one of another type, and one that is a list of lists of lists and so on. */
    private static String foreignEntry() {
        return "{\"service\":\"guide-api\",\"state\":\"ready\",\"slots\":\"6\",\"zone\":"
            + "[".repeat(DEPTH) + "]".repeat(DEPTH) + "}";
    }
}
