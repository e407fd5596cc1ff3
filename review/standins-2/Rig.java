import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the store, replicas, and processes of the system that
 * are started with the command of the deploy file. What happens is written to the record.
 */
final class Rig {
    /** A case cannot run on this machine, for a reason outside the system under test. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    /** A script may run for 120 s. */
    private static final long MAX_LENGTH_MS = 110_000;

    final Store store = new Store();
    final List<Edge> edges = new ArrayList<>();
    final int frontPort;
    private final int readyPort;
    private final int controlPort;
    final int innerPort;
    private final Path folder;
    private final PrintWriter record;
    private final long startedMs = System.currentTimeMillis();

    /** Where addresses 127.0.[subnet].N are taken from. */
    final int subnet = 16 + (int) (ProcessHandle.current().pid() % 200);

    Rig(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        int base = findPorts();
        frontPort = base;
        readyPort = base + 1;
        controlPort = base + 2;
        innerPort = base + 10;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Whether the disruption is left out. */
    static boolean isUndisturbed() {
        return "0".equals(System.getenv("TROUBLE"));
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException ignored) {
            // It is closed in any case.
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException cause) {
            throw new IllegalStateException(cause);
        }
    }

    synchronized void record(String format, Object... values) {
        double atS = (System.currentTimeMillis() - startedMs) / 1e3;
        String line = String.format("%8.3f s  ", atS) + String.format(format, values);
        record.println(line);
    }

    /** A range of 30 ports that are free on the first addresses. */
    private int findPorts() {
        java.util.Random random = new java.util.Random();
        for (int attempt = 0; attempt < 50; attempt++) {
            int base = 11_000 + random.nextInt(8_000);
            if (isFree(base)) return base;
        }
        throw new CannotRun("no free ports");
    }

    private boolean isFree(int base) {
        for (int host = 1; host <= 8; host++) {
            for (int offset : new int[] {0, 1, 2, 10, 11, 12, 13}) {
                String ip = "127.0." + subnet + "." + host;
                try (ServerSocket tcp = new ServerSocket(base + offset, 1, InetAddress.getByName(ip));
                    DatagramSocket udp = new DatagramSocket(new InetSocketAddress(ip, base + offset))) {
                    tcp.getLocalPort();
                } catch (IOException taken) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Writes the manifest with one resumable route, to the engines of [service]. */
    void putStreamingManifest(long version, String service, int slots) {
        putManifest(version,
            "{\"name\":\"r-chat\",\"host\":\"service.example\",\"path_prefix\":\"/chat/\",\"kind\":\"streaming\","
                + "\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":0,\"service\":\"" + service + "\","
                + "\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":300}",
            "{\"name\":\"" + service + "\",\"health_path\":\"/health\",\"max_conns\":370,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":" + slots + ",\"kv_capacity_tokens\":510480,\"stride\":1,"
                + "\"models\":[{\"name\":\"m\"}]}}");
    }

    /** Writes the manifest with one route for requests that may be repeated, to [service]. */
    void putIdempotentManifest(long version, String service, int timeoutMs) {
        putManifest(version,
            "{\"name\":\"r-entry\",\"host\":\"service.example\",\"path_prefix\":\"/entry/\",\"kind\":\"idempotent\","
                + "\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":100,\"priority\":2,\"service\":\"" + service
                + "\",\"max_attempts\":2,\"public\":false}",
            "{\"name\":\"" + service + "\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\","
                + "\"tls\":false}");
    }

    private void putManifest(long version, String route, String service) {
        store.put("config", "main", Json.object("{\"version\":" + version + ",\"routes\":[" + route + "],"
            + "\"services\":[" + service + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\","
            + "\"api_keys\":[\"key-1\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,"
            + "\"rate_per_s\":293555,\"burst\":293555}]}"));
        record("operator: manifest %d is acknowledged", version);
    }

    /** A process of the system on the host [name] with the address [ip]. */
    final class Edge {
        final String name;
        final String ip;
        private final int number;
        private final String storeAddress;
        private final int ownInnerPort;
        private volatile Process process;
        private int starts;

        Edge(int number, String storeAddress, int ownInnerPort) {
            this.number = number;
            this.name = "edge-" + number;
            this.ip = "127.0." + subnet + "." + number;
            this.storeAddress = storeAddress;
            this.ownInnerPort = ownInnerPort;
        }

        /** Starts the process with the command of the deploy file. */
        void start(int count) throws IOException {
            Path file = folder.resolve(name + ".conf");
            Files.writeString(file, settings(count, starts == 0));
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(new File("."));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("BRONZETIDE_NODE_FILE", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            starts++;
            record("%s starts", name);
        }

        private String settings(int count, boolean isFirst) {
            StringBuilder seeds = new StringBuilder();
            for (int other = 1; other <= Math.min(3, count); other++) {
                if (other > 1) seeds.append(',');
                seeds.append("127.0.").append(subnet).append('.').append(other).append(':').append(controlPort);
            }
            String zone = "zone-" + "abc".charAt((number - 1) % 3);
            return String.join("\n",
                "node_name=" + name, "role=bronzetided", "machine_class=edge", "serves=edge,control",
                "ip=" + ip, "zone=" + zone, "region=home",
                "zones.zone-a=home", "zones.zone-b=home", "zones.zone-c=home",
                "listen.front=" + ip + ":" + frontPort, "listen.ready=" + ip + ":" + readyPort,
                "listen.control=" + ip + ":" + controlPort,
                "inner_ports=" + ownInnerPort + "," + (ownInnerPort + 3),
                "seeds=" + seeds, "bootstrap=" + isFirst, "tolerance_member=false",
                "limits.cpu_share=0.75", "limits.cores=1", "limits.memory_mb=280", "limits.max_fds=4100",
                "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip",
                "heartbeat_ms=1200",
                "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,platform",
                "fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
                "bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.stable_ms=3000", "bounds.ack_ms=4000",
                "bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200",
                "bounds.config_apply_ms=2000", "bounds.downgrade_slack_ms=250", "bounds.outer_ms=5000",
                "bounds.strict_revoke=false", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2",
                "bounds.retry_window_s=10", "bounds.retry_slack=56", "bounds.quota_window_s=8",
                "bounds.quota_overage=0.1", "bounds.quota_slack=140000", "bounds.recovery_s=12",
                "bounds.pass_ms=120", "bounds.reuse_window_s=9",
                "platform.address=" + storeAddress, "platform.form=objects", "platform.writes_per_s=400",
                "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576",
                "platform.ttl_min_ms=1000", "");
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, readyPort), 500);
                socket.setSoTimeout(1_000);
                Http.write(socket.getOutputStream(), "GET /ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n");
                Http.Head head = Http.readHead(socket.getInputStream());
                return head != null && head.status() == 200;
            } catch (IOException notReady) {
                return false;
            }
        }

        /** Ends the process at once. */
        void kill() {
            process.destroyForcibly();
            record("%s is killed", name);
        }

        /** Asks the process to stop. */
        void terminate() {
            process.destroy();
            record("%s gets SIGTERM", name);
        }

        boolean isAlive() {
            return process.isAlive();
        }
    }

    /** The words of the command in the deploy file. */
    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new CannotRun("the deploy file has no command");
        return List.of(run.group(1).split(" +"));
    }

    /** Starts one process for each of [storeAddresses] and waits until all are ready. */
    void startEdges(List<String> storeAddresses) throws IOException {
        for (String address : storeAddresses) edges.add(new Edge(edges.size() + 1, address, innerPort));
        startEdges();
    }

    /** Starts the processes of [edges] and waits until all are ready and count as in touch. */
    void startEdges() throws IOException {
        for (Edge edge : edges) edge.start(edges.size());
        for (Edge edge : edges) {
            long untilMs = System.currentTimeMillis() + 30_000;
            while (!edge.isReady()) {
                if (System.currentTimeMillis() > untilMs) throw new CannotRun(edge.name + " is not ready after 30 s");
                sleep(100);
            }
        }
        record("all processes are ready");
        // stable_ms, and the time that they take to find each other.
        sleep(5_000);
    }

    /** Ends all processes and removes the temporary folder. */
    void close() {
        for (Edge edge : edges) {
            Process process = edge.process;
            if (process == null) continue;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException ignored) {
                // The process was told to end.
            }
        }
        if (System.getenv("KEEP_LOGS") != null) return;
        try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException ignored) {
            // Nothing is left to remove.
        }
    }

    /** What a case does; returns whether the rule held. */
    interface Case {
        boolean run(Rig rig) throws Exception;
    }

    /** Runs [body] and exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. */
    static void main(String[] arguments, Case body) {
        int status = 2;
        daemon(() -> {
            sleep(MAX_LENGTH_MS);
            System.out.println("could not run: too slow");
            Runtime.getRuntime().exit(2);
        });
        try {
            Rig rig = new Rig(Path.of(arguments[0]));
            try {
                boolean held = body.run(rig);
                rig.record(held ? "the rule held" : "the rule was broken");
                System.out.println(held ? "the rule held" : "the rule was broken");
                status = held ? 0 : 1;
            } catch (CannotRun cause) {
                rig.record("could not run: %s", cause.getMessage());
                System.out.println("could not run: " + cause.getMessage());
            } finally {
                rig.close();
            }
        } catch (Throwable cause) {
            cause.printStackTrace();
        }
        System.exit(status);
    }
}
