import java.util.ArrayList;
import java.util.List;

/**
 * One machine is cut off from the store and from all other machines while replicas of a second
 * version are added. A planned stop of another machine ends streams that began at the new version,
 * and their clients take them up at the one that is cut off.
 */
final class CutOff {
    private static final int SLOTS = 16;
    private static final int STREAMS = 16;
    private static final long CUT_MS = 11_800;
    private static final long STOP_AT_MS = 3_600;

    public static void main(String[] arguments) {
        Rig.main(arguments, CutOff::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Store.Entrance usual = rig.store.open();
        Store.Entrance ofSingle = rig.store.open();
        rig.putStreamingManifest(3, "model", SLOTS);
        for (int number = 1; number <= 2; number++) {
            new Replica(rig, "i-000" + number, "model", "zone-" + "abc".charAt(number - 1), SLOTS).start("v1");
        }
        int singlePort = rig.innerPort + 2;
        for (int number = 1; number <= 3; number++) {
            boolean isSingle = number == 3;
            rig.edges.add(rig.new Edge(number, (isSingle ? ofSingle : usual).address(), isSingle ? singlePort : rig.innerPort));
        }
        Rig.Edge stopped = rig.edges.get(1);
        Rig.Edge single = rig.edges.get(2);
        DatagramRelay relay = new DatagramRelay(rig, single, singlePort);
        rig.startEdges();

        long cutAtMs = System.currentTimeMillis();
        if (!Rig.isUndisturbed()) {
            ofSingle.setCutOff(true);
            relay.setCut(true);
            rig.record("%s is cut off from the store and the other machines", single.name);
        }
        Rig.sleep(500);
        for (int number = 3; number <= 4; number++) {
            new Replica(rig, "i-000" + number, "model", "zone-" + "abc".charAt(number - 3), SLOTS).start("v2");
        }
        Rig.sleep(1_500);
        List<Stream> streams = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            Stream stream = new Stream(rig, 60, 200);
            streams.add(stream);
            clients.add(Rig.daemon(() -> {
                if (stream.attempt(stopped) != Stream.End.COMPLETE) stream.attempt(single);
            }));
            Rig.sleep(50);
        }
        waitUntil(cutAtMs + STOP_AT_MS);
        stopped.terminate();
        waitUntil(cutAtMs + CUT_MS);
        ofSingle.setCutOff(false);
        relay.setCut(false);
        rig.record("the cut is over");
        for (Thread client : clients) client.join(16_000);

        long mixed = streams.stream().filter(it -> it.versions.size() > 1).count();
        long begun = streams.stream().filter(it -> it.lastEvent > 0).count();
        String result = begun + " streams begun, " + mixed + " hold events of two versions (at most 2 allowed)";
        rig.record("%s", result);
        System.out.println(result);
        if (begun < STREAMS) throw new Rig.CannotRun("only " + begun + " streams began");
        return mixed <= 2;
    }

    private static void waitUntil(long atMs) {
        Rig.sleep(Math.max(0, atMs - System.currentTimeMillis()));
    }
}
