package review;

import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.DatagramSocket;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A small deployment: the store, the project's processes on loopback addresses, and a record. */
final class Rig implements AutoCloseable {
    static final long START_MS = System.currentTimeMillis();

    /** Whether the case applies its disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Store store;
    final int frontPort;
    final int readyPort;
    final int controlPort;
    final int innerPort;
    final List<String> ips = new ArrayList<>();
    private final Path directory;
    private final BufferedWriter record;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();

    Rig(String recordFile, int nodes) throws IOException {
        directory = Files.createTempDirectory("review");
        record = Files.newBufferedWriter(Path.of(recordFile));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        store = new Store();
        for (int i = 0; i < nodes; i++) ips.add("127.0.0." + (11 + i));
        int first = freePorts();
        frontPort = first;
        readyPort = first + 1;
        controlPort = first + 2;
        innerPort = first + 3;
    }

    /** What a case does; returns whether the rule held. */
    interface Case {
        boolean run(Rig rig) throws Exception;
    }

    /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
    static void main(String recordFile, int nodes, Case body) {
        int code = 2;
        Watchdog.start(110);
        try (Rig rig = new Rig(recordFile, nodes)) {
            try {
                boolean held = body.run(rig);
                rig.record("result", held ? "the rule held" : "the rule was broken");
                code = held ? 0 : 1;
            } catch (Throwable cause) {
                rig.record("result", "the case could not run: " + cause);
                cause.printStackTrace();
            }
        } catch (Throwable cause) {
            cause.printStackTrace();
        }
        System.exit(code);
    }

    /** Starts all processes and waits until they are ready. */
    void startAll() throws Exception {
        for (String ip : ips) start(ip, true);
        for (String ip : ips) awaitReady(ip, 20_000);
    }

    /** Starts a process with the run command of the deploy file. */
    void start(String ip, boolean isFirstStart) throws IOException {
        Path settings = directory.resolve(ip + ".conf");
        Files.writeString(settings, settings(ip, isFirstStart));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("BRONZETIDE_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(ip + ".log").toFile()));
        processes.put(ip, builder.start());
        record("started", ip);
    }

    private static List<String> command() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!matcher.find()) throw new IOException("no run command in deploy/system.toml");
        return List.of(matcher.group(1).split(" "));
    }

    Process process(String ip) {
        return processes.get(ip);
    }

    String log(String ip) throws IOException {
        return Files.readString(directory.resolve(ip + ".log"));
    }

    /** Writes the lines of a process's log that contain the text to the record. */
    void recordLog(String ip, String text, int most) throws IOException {
        log(ip).lines().filter(line -> line.contains(text)).limit(most)
            .forEach(line -> record("log", ip, line));
    }

    void awaitReady(String ip, long withinMs) throws Exception {
        long end = System.currentTimeMillis() + withinMs;
        while (!isReady(ip)) {
            if (System.currentTimeMillis() > end) throw new IOException(ip + " did not get ready");
            Thread.sleep(50);
        }
        record("ready", ip);
    }

    /** Asks as the platform does, once: whether the process answers 200 within a second. */
    boolean isReady(String ip) {
        try (java.net.Socket socket = new java.net.Socket()) {
            socket.connect(new InetSocketAddress(ip, readyPort), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes("GET /ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n"));
            Http.Message response = Http.readHead(socket.getInputStream());
            return response != null && response.status() == 200;
        } catch (IOException cause) {
            return false;
        }
    }

    private String settings(String ip, boolean isFirstStart) {
        String seeds = ips.stream().map(each -> each + ":" + controlPort).collect(Collectors.joining(","));
        return String.join("\n",
            "node_name=edge-" + ip.substring(ip.lastIndexOf('.') + 1),
            "role=bronzetided", "machine_class=edge", "serves=edge,control", "ip=" + ip,
            "zone=zone-a", "region=region", "zones.zone-a=region",
            "listen.front=" + ip + ":" + frontPort,
            "listen.ready=" + ip + ":" + readyPort,
            "listen.control=" + ip + ":" + controlPort,
            "inner_ports=" + innerPort + "," + (innerPort + 15),
            "seeds=" + seeds, "bootstrap=" + isFirstStart, "tolerance_member=false",
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
            "platform.address=" + store.address(), "platform.form=objects", "platform.writes_per_s=400",
            "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576",
            "platform.ttl_min_ms=1000", "");
    }

    /** The manifest of a site with a model service and an application service, at a version. */
    static String manifest(int version, String routes) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
            + "{\"name\":\"style-model\",\"health_path\":\"/health\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":11,\"kv_capacity_tokens\":510480,\"stride\":5}},"
            + "{\"name\":\"guide-api\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"desk\",\"api_keys\":[\"key-1\"],\"priority\":1,"
            + "\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":2935550,\"burst\":2935550}]}";
    }

    /** Routes with the kinds, times and attempts of cedar-ledger's sheet. */
    static final String ROUTES =
        route("review", "/review/", "streaming", 15_000, 800, 0, "style-model", 2, true) + ","
            + route("query", "/query/", "streaming", 12_000, 400, 1, "style-model", 1, false) + ","
            + route("publish", "/publish/", "non_idempotent", 1_000, 121, 2, "guide-api", 1, false) + ","
            + route("lookup", "/lookup/", "idempotent", 1_000, 121, 2, "guide-api", 2, false);

    static String route(String name, String prefix, String kind, int timeoutMs, int latencyMs, int priority,
        String service, int attempts, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"desk.example\",\"path_prefix\":\"" + prefix
            + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":" + latencyMs
            + ",\"priority\":" + priority + ",\"service\":\"" + service + "\",\"max_attempts\":" + attempts
            + ",\"public\":false,\"sticky\":" + (kind.equals("streaming")) + ",\"resumable\":" + resumable
            + ",\"gap_target_ms\":300}";
    }

    String nextId() {
        return String.format("%016x", 0x9c41d07b00000000L + ids.incrementAndGet());
    }

    void onRun(String requestId, String replica) {
        runs.computeIfAbsent(requestId, ignored -> new ArrayList<>()).add(replica);
    }

    /** The replicas that began to work on the request, in order. */
    List<String> runsOf(String requestId) {
        return runs.getOrDefault(requestId, List.of());
    }

    synchronized void record(String what, String... details) {
        try {
            record.write(String.format("%7d ms  %-10s %s%n", System.currentTimeMillis() - START_MS, what,
                String.join("  ", details)));
            record.flush();
        } catch (IOException cause) {
            throw new java.io.UncheckedIOException(cause);
        }
    }

    private void endProcesses() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException ignored) {
                return;
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        store.close();
        record.close();
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    private int freePorts() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 100; attempt++) {
            int first = 12_000 + random.nextInt(18_000);
            if (ips.stream().allMatch(ip -> areFree(ip, first))) return first;
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(String ip, int first) {
        for (int port = first; port < first + 4; port++) {
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getByName(ip));
                DatagramSocket udp = new DatagramSocket(new InetSocketAddress(ip, port))) {
                // free
            } catch (IOException cause) {
                return false;
            }
        }
        return true;
    }

    /** Runs the body in a thread that ends with the case; its failure ends only that thread. */
    static Thread daemon(String name, Action body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception ignored) {
                // a connection ended, or the case has
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Action {
        void run() throws Exception;
    }

    /** Ends the whole case after some seconds, with the result 2. */
    private static final class Watchdog {
        static void start(int seconds) {
            daemon("watchdog", () -> {
                Thread.sleep(seconds * 1_000L);
                System.exit(2);
            });
        }
    }
}
