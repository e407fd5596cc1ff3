package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients ask questions in sessions whose prompts have many parts, and a quarter of the model
 * replicas crash, a few times. Other clients send small requests to sound replicas of another
 * service all the while.
 */
final class CrashedRuns {
    private static final int REPLICAS = 12;
    private static final int SLOTS = 11;
    private static final int CRASHES = 6;
    private static final int CRASH_EVERY_MS = 2_500;

    /** As srv_crash with share 0.25 in the site file: a quarter is down, and back before the next. */
    private static final int CRASHED_AT_ONCE = REPLICAS / 4;
    private static final int DOWN_MS = 2_000;

    /** Several long prompts are read at once. */
    private static final int FIRST_EVENT_MS = 600;

    private static final int QUERY_CLIENTS = 130;
    private static final int PARTS = 63;
    private static final int CLIENTS = 16;
    private static final int TIMEOUT_MS = 1_000;

    private static final Random RANDOM = new Random(1);
    private static final AtomicInteger BOOTS = new AtomicInteger();

    public static void main(String[] arguments) {
        Rig.main(arguments[0], 2, CrashedRuns::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store.put("config", "main", Rig.manifest(7, Rig.ROUTES));
        List<Replica> replicas = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < REPLICAS; i++) replicas.add(boot(rig));
        for (int i = 0; i < 3; i++) new Replica(rig, "i-guide" + i, "guide-api", "zone-a", 6, 20, 0, 0);
        rig.startAll();
        AtomicBoolean isOver = new AtomicBoolean();
        for (int i = 0; i < QUERY_CLIENTS; i++) {
            Client client = new Client(rig, rig.ips.get(i % rig.ips.size()), "key-1");
            Rig.daemon("query", () -> {
                while (!isOver.get()) {
                    client.send("POST", "/query/1", 12_000,
                        "Model: m\r\nToken-Usage: 6610,290\r\nPrompt-Prefix: " + prompt() + "\r\n", new byte[64]);
                    Thread.sleep(100);
                }
            });
        }
        if (Client.breaksTimeoutRule(rig, load(rig, 4_000), TIMEOUT_MS)) throw new IOException("not served before");
        if (Rig.TROUBLE) Rig.daemon("crashes", () -> {
            for (int i = 0; i < CRASHES; i++) {
                crashAQuarter(rig, replicas);
                Thread.sleep(CRASH_EVERY_MS);
            }
        });
        List<Client.Answer> answers = load(rig, 30_000);
        isOver.set(true);
        for (String ip : rig.ips) rig.recordLog(ip, "\"event\":\"prompt part", 3);
        return !Client.breaksTimeoutRule(rig, answers, TIMEOUT_MS);
    }

    private static Replica boot(Rig rig) throws IOException {
        return new Replica(rig, "i-model" + BOOTS.incrementAndGet(), "style-model", "zone-a", SLOTS, FIRST_EVENT_MS, 20, 40);
    }

    /** The replicas crash at once, without a word; others take their place later. */
    private static void crashAQuarter(Rig rig, List<Replica> replicas) throws IOException {
        for (int i = 0; i < CRASHED_AT_ONCE; i++) {
            Replica crashed = replicas.remove(0);
            crashed.close();
            rig.record("crashed", crashed.id);
            Rig.daemon("reboot", () -> {
                Thread.sleep(DOWN_MS);
                replicas.add(boot(rig));
                // Three status reports are missing.
                Thread.sleep(3 * 1_200 - DOWN_MS);
                rig.store.remove("servers", crashed.id);
            });
        }
    }

    /** A common part of 60 tokens, those of the session's turns so far, and the request's own. */
    private static synchronized String prompt() {
        StringBuilder parts = new StringBuilder("5c1e07a2:60");
        for (int i = 1; i < PARTS; i++) parts.append(String.format(",%08x:105", RANDOM.nextInt()));
        return parts.toString();
    }

    /** Sends small requests on kept channels through all processes. */
    private static List<Client.Answer> load(Rig rig, int forMs) throws Exception {
        List<Client.Answer> answers = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        long end = System.currentTimeMillis() + forMs;
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(rig, rig.ips.get(i % rig.ips.size()), "key-1");
            threads.add(Rig.daemon("client", () -> {
                while (System.currentTimeMillis() < end) {
                    answers.add(client.get("/lookup/1", TIMEOUT_MS));
                    Thread.sleep(200);
                }
            }));
        }
        for (Thread thread : threads) thread.join();
        return answers;
    }
}
