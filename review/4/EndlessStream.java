package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One of three model replicas follows the first event of one stream with bytes that are no answer,
 * without end, until its channel is closed. All other requests go to sound replicas.
 */
final class EndlessStream {
    private static final int CLIENTS = 12;
    private static final int TIMEOUT_MS = 1_000;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], 2, EndlessStream::run);
    }

    private static boolean run(Rig rig) throws Exception {
        AtomicBoolean isFaulty = new AtomicBoolean();
        rig.store.put("config", "main", Rig.manifest(7, Rig.ROUTES));
        for (int i = 0; i < 3; i++) {
            new FaultyReplica(rig, "i-model" + i, isFaulty);
            new Replica(rig, "i-guide" + i, "guide-api", "zone-a", 6, 20, 0, 0);
        }
        rig.startAll();
        if (Client.breaksTimeoutRule(rig, load(rig, 3_000), TIMEOUT_MS)) throw new IOException("not served before");
        isFaulty.set(Rig.TROUBLE);
        Rig.daemon("query", () -> {
            Client client = new Client(rig, rig.ips.get(0), "key-1");
            client.send("POST", "/query/1", 12_000, "Model: m\r\nToken-Usage: 628,290\r\n", new byte[64]);
        });
        Thread.sleep(300);
        return !Client.breaksTimeoutRule(rig, load(rig, 14_000), TIMEOUT_MS);
    }

    /** Sends requests to sound replicas on kept channels through all processes. */
    private static List<Client.Answer> load(Rig rig, int forMs) throws Exception {
        List<Client.Answer> answers = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        long end = System.currentTimeMillis() + forMs;
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(rig, rig.ips.get(i % rig.ips.size()), "key-1");
            boolean isLookup = i % 4 < 2;
            threads.add(Rig.daemon("client", () -> {
                while (System.currentTimeMillis() < end) {
                    answers.add(isLookup ? client.get("/lookup/1", TIMEOUT_MS)
                        : client.send("POST", "/publish/1", TIMEOUT_MS, "", Http.bytes("ruling")));
                    Thread.sleep(200);
                }
            }));
        }
        for (Thread thread : threads) thread.join();
        return answers;
    }

    private static final class FaultyReplica extends Replica {
        private final AtomicBoolean isFaulty;

        /** While isFaulty is set, the next answer of any such replica is the endless one. */
        FaultyReplica(Rig rig, String id, AtomicBoolean isFaulty) throws IOException {
            super(rig, id, "style-model", "zone-a", 11, 20, 20, 40);
            this.isFaulty = isFaulty;
        }

        @Override
        void run(Http.Message request, OutputStream out) throws Exception {
            if (!isFaulty.compareAndSet(true, false)) {
                super.run(request, out);
                return;
            }
            rig.record("run", id, request.header("Request-Id"));
            startStream(request, out);
            chunk(out, Http.bytes("id: 1\ndata: piece 1\n\n"));
            chunk(out, Http.bytes("id: 2\ndata: "));
            sendWithoutEnd(out);
        }

        /** One byte a chunk, as fast as the reader takes them. */
        private void sendWithoutEnd(OutputStream out) throws IOException {
            byte[] block = Http.bytes("1\r\nx\r\n".repeat(10_000));
            long sent = 0;
            long start = System.currentTimeMillis();
            try {
                while (true) {
                    out.write(block);
                    sent += block.length;
                }
            } finally {
                rig.record("endless", id, sent + " bytes in " + (System.currentTimeMillis() - start) + " ms");
            }
        }
    }
}
