import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Most processes are killed at the same moment while replicas of two versions serve. The clients
 * whose channels broke take their streams up at the machine that is left.
 */
final class MassKill {
    private static final int SLOTS = 20;
    private static final int MACHINES = 8;
    private static final int STREAMS_PER_MACHINE = 8;
    private static final int NEW_STREAMS = 20;
    private static final int MIN_JUDGED = 12;

    public static void main(String[] arguments) {
        Rig.main(arguments, MassKill::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Store.Entrance entrance = rig.store.open();
        rig.putStreamingManifest(3, "model", SLOTS);
        for (int number = 1; number <= 6; number++) {
            String zone = "zone-" + "abc".charAt((number - 1) % 3);
            new Replica(rig, "i-000" + number, "model", zone, SLOTS).start(number <= 3 ? "v1" : "v2");
        }
        List<String> stores = new ArrayList<>();
        for (int number = 0; number < MACHINES; number++) stores.add(entrance.address());
        rig.startEdges(stores);
        Rig.Edge left = rig.edges.get(0);

        List<Stream> streams = new ArrayList<>();
        List<Thread> first = new ArrayList<>();
        for (int number = 0; number < STREAMS_PER_MACHINE; number++) {
            for (Rig.Edge edge : rig.edges.subList(1, MACHINES)) {
                Stream stream = new Stream(rig, 60, 150);
                streams.add(stream);
                first.add(Rig.daemon(() -> stream.attempt(edge)));
                Rig.sleep(10);
            }
        }
        // Longer than the hosts take to tell each other of a stream, and to write it to the store.
        Rig.sleep(3_000);

        if (Rig.isUndisturbed()) {
            rig.record("clients close their channels");
            streams.forEach(Stream::drop);
        } else {
            rig.edges.subList(1, MACHINES).forEach(Rig.Edge::kill);
        }
        for (Thread thread : first) thread.join(2_000);

        AtomicInteger takenUp = new AtomicInteger();
        AtomicInteger wentOn = new AtomicInteger();
        AtomicInteger begun = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (Stream stream : streams) {
            if (stream.lastEvent == 0) continue;
            clients.add(Rig.daemon(() -> {
                takenUp.incrementAndGet();
                if (goesOn(stream, left)) wentOn.incrementAndGet();
            }));
            Rig.sleep(5);
        }
        for (int number = 0; number < NEW_STREAMS; number++) {
            clients.add(Rig.daemon(() -> {
                Stream stream = new Stream(rig, 20, 150);
                stream.attempt(left);
                if (stream.lastEvent > 0) begun.incrementAndGet();
            }));
            Rig.sleep(5);
        }
        if (!Rig.isUndisturbed()) {
            Rig.sleep(300);
            for (Rig.Edge edge : rig.edges.subList(1, MACHINES)) edge.start(MACHINES);
        }
        for (Thread client : clients) client.join(16_000);

        double goOnShare = wentOn.get() / (double) Math.max(1, takenUp.get());
        double beginShare = begun.get() / (double) NEW_STREAMS;
        String result = String.format("%d of %d streams that were taken up at %s went on, %d of %d new ones began there",
            wentOn.get(), takenUp.get(), left.name, begun.get(), NEW_STREAMS);
        rig.record("%s", result);
        System.out.println(result);
        if (takenUp.get() < MIN_JUDGED) throw new Rig.CannotRun("too few streams were taken up");
        return goOnShare >= beginShare / 2;
    }

    /** Takes [stream] up at [edge], once more after the pause that a refusal asks for. */
    private static boolean goesOn(Stream stream, Rig.Edge edge) {
        int before = stream.lastEvent;
        for (int attempt = 0; attempt < 2; attempt++) {
            Stream.End end = stream.attempt(edge);
            if (end == Stream.End.COMPLETE || stream.lastEvent > before) return true;
            Rig.sleep(stream.retryAfterS >= 0 ? (long) (stream.retryAfterS * 1e3) : 300);
        }
        return false;
    }
}
