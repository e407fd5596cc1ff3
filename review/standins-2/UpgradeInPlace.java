import java.util.ArrayList;
import java.util.List;

/**
 * Replicas are upgraded in place, one after the other, while the store turns away one machine. That
 * machine relays streams which began at the old version.
 */
final class UpgradeInPlace {
    private static final int SLOTS = 16;
    private static final int STREAMS = 24;

    public static void main(String[] arguments) {
        Rig.main(arguments, UpgradeInPlace::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Store.Entrance usual = rig.store.open();
        Store.Entrance ofFirst = rig.store.open();
        rig.putStreamingManifest(3, "model", SLOTS);
        List<Replica> replicas = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            Replica replica = new Replica(rig, "i-000" + number, "model", "zone-" + "abc".charAt(number - 1), SLOTS);
            replica.start("v1");
            replicas.add(replica);
        }
        rig.startEdges(List.of(ofFirst.address(), usual.address(), usual.address()));

        List<Stream> streams = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            Stream stream = new Stream(rig, 50, 200);
            streams.add(stream);
            clients.add(Rig.daemon(() -> follow(rig, stream)));
            Rig.sleep(20);
        }
        Rig.sleep(1_000);

        if (!Rig.isUndisturbed()) {
            ofFirst.setBusy(true);
            rig.record("store: turns edge-1 away with 503");
        }
        Rig.sleep(300);
        for (Replica replica : replicas.subList(0, 2)) {
            replica.leave();
            Rig.sleep(2_200);
            replica.exit();
            Rig.sleep(500);
            replica.start("v2");
            Rig.sleep(400);
        }
        Rig.sleep(1_500);
        ofFirst.setBusy(false);
        rig.record("store: serves edge-1");
        for (Thread client : clients) client.join(16_000);

        long mixed = streams.stream().filter(it -> it.versions.size() > 1).count();
        long begun = streams.stream().filter(it -> it.lastEvent > 0).count();
        rig.record("%d streams begun, %d hold events of two versions (at most 2 allowed)", begun, mixed);
        System.out.println(begun + " streams begun, " + mixed + " hold events of two versions");
        if (begun < STREAMS) throw new Rig.CannotRun("only " + begun + " streams began");
        return mixed <= 2;
    }

    /** A client retries once, on a new channel, at another machine. */
    private static void follow(Rig rig, Stream stream) {
        if (stream.attempt(rig.edges.get(0)) != Stream.End.COMPLETE) stream.attempt(rig.edges.get(1));
    }
}
