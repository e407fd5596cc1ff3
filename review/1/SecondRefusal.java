package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Both replicas of a service reject part of their requests for a few seconds at a time. One of them
 * also sends a second copy of some of these answers, some milliseconds late.
 */
final class SecondRefusal {
    private static final int CLIENTS = 32;
    private static final int PAUSE_MS = 120;

    /** Within the doses of srv_grey (shed all) and garble (extra late) in the site file. */
    private static final int SHED_PERCENT = 45;
    private static final int SHED_FOR_MS = 4_000;
    private static final int ONE_ANSWER_TWICE_IN = 34;

    private static final int SHED_PAUSE_MS = 1_000;
    private static final int LATE_MS = 10;
    private static final int TROUBLE_MS = 85_000;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], 2, SecondRefusal::run);
    }

    private static boolean run(Rig rig) throws Exception {
        AtomicBoolean isShedding = new AtomicBoolean();
        rig.store.put("config", "main", Rig.manifest(7, Rig.ROUTES));
        new SheddingReplica(rig, "i-guide0", isShedding, true);
        new SheddingReplica(rig, "i-guide1", isShedding, false);
        rig.startAll();
        List<Client.Answer> answers = new CopyOnWriteArrayList<>();
        load(rig, 3_000, answers);
        long served = answers.stream().filter(a -> a.status() == 200).count();
        if (served * 10 < answers.size() * 9) throw new IOException("not served before");
        if (Rig.TROUBLE) {
            Rig.daemon("trouble", () -> {
                while (true) {
                    isShedding.set(true);
                    Thread.sleep(SHED_FOR_MS);
                    isShedding.set(false);
                    Thread.sleep(SHED_PAUSE_MS);
                }
            });
        }
        load(rig, TROUBLE_MS, answers);
        isShedding.set(false);
        Thread.sleep(500);
        return judge(rig, answers);
    }

    private static boolean judge(Rig rig, List<Client.Answer> answers) {
        int twice = 0;
        int refusedAndRun = 0;
        for (Client.Answer answer : answers) {
            List<String> runs = rig.runsOf(answer.id());
            if (runs.size() > 1) {
                twice++;
                rig.record("TWICE", answer.id(), "runs " + runs, "answered " + answer.status());
            }
            if ((answer.status() == 503 || answer.status() == 429) && !runs.isEmpty()) {
                refusedAndRun++;
                rig.record("REFUSED", answer.id(), "runs " + runs, "answered " + answer.status());
            }
        }
        rig.record("count", answers.size() + " requests, run twice " + twice + ", refused though run " + refusedAndRun);
        return twice + refusedAndRun == 0;
    }

    /** Sends requests that may run at most once, on kept channels through all processes. */
    private static void load(Rig rig, int forMs, List<Client.Answer> answers) throws Exception {
        long end = System.currentTimeMillis() + forMs;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(rig, rig.ips.get(i % rig.ips.size()), "key-1");
            threads.add(Rig.daemon("client", () -> {
                while (System.currentTimeMillis() < end) {
                    answers.add(client.send("POST", "/publish/1", 1_000, "", Http.bytes("ruling")));
                    Thread.sleep(PAUSE_MS);
                }
            }));
        }
        for (Thread thread : threads) thread.join();
    }

    private static final class SheddingReplica extends Replica {
        private final AtomicBoolean isShedding;
        private final boolean isDoubling;
        private final AtomicInteger requests = new AtomicInteger();
        private final AtomicInteger refusals = new AtomicInteger();

        SheddingReplica(Rig rig, String id, AtomicBoolean isShedding, boolean isDoubling) throws IOException {
            super(rig, id, "guide-api", "zone-a", 6, 20, 0, 0);
            this.isShedding = isShedding;
            this.isDoubling = isDoubling;
        }

        @Override
        boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
            boolean isShed = (requests.incrementAndGet() * SHED_PERCENT) % 100 < SHED_PERCENT;
            if (!isShedding.get() || !isShed) return super.handle(request, socket, out);
            shed(request, out);
            if (isDoubling && refusals.incrementAndGet() % ONE_ANSWER_TWICE_IN == 0) {
                Rig.daemon("second answer", () -> {
                    Thread.sleep(LATE_MS);
                    rig.record("again", id, request.header("Request-Id"));
                    out.write(shedResponse(request));
                });
            }
            return true;
        }
    }
}
