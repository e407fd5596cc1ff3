import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.UUID;

/**
 * A client's stream: its first attempt, and those that take it up after a broken channel. Events
 * are counted over all attempts.
 */
final class Stream {
    /** How one attempt ended. */
    enum End { COMPLETE, BROKEN, REFUSED, FAILED }

    private final Rig rig;
    private final int count;
    private final long intervalMs;
    private final long deadlineMs = System.currentTimeMillis() + 15_000;

    /** The request that brought the first event. */
    private String firstId;
    private volatile Socket socket;

    /** The versions of the replicas whose events were received, and the number of events. */
    final TreeSet<String> versions = new TreeSet<>();
    final List<String> sources = new ArrayList<>();
    volatile int lastEvent;
    volatile boolean isInOrder = true;
    volatile int lastStatus;
    volatile double retryAfterS = -1;

    Stream(Rig rig, int count, long intervalMs) {
        this.rig = rig;
        this.count = count;
        this.intervalMs = intervalMs;
    }

    /** Closes the channel of the attempt in progress. */
    void drop() {
        Socket current = socket;
        if (current != null) Rig.closeQuietly(current);
    }

    long leftMs() {
        return deadlineMs - System.currentTimeMillis();
    }

    /** Makes one attempt at [edge], which takes the stream up if it has begun. */
    End attempt(Rig.Edge edge) {
        String requestId = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        boolean takesUp = lastEvent > 0;
        if (!takesUp) firstId = requestId;
        int before = lastEvent;
        End end;
        try (Socket channel = new Socket()) {
            socket = channel;
            channel.connect(new InetSocketAddress(edge.ip, rig.frontPort), 1_000);
            channel.setSoTimeout((int) Math.max(1, Math.min(leftMs(), 4_000)));
            Http.write(channel.getOutputStream(), "POST /chat/" + count + "/" + intervalMs + " HTTP/1.1\r\n"
                + "Host: service.example\r\nRequest-Id: " + requestId + "\r\n"
                + (takesUp ? "Last-Event-Id: " + lastEvent + "\r\nResumes: " + firstId + "\r\n" : "")
                + "Model: m\r\nToken-Usage: 100," + count + "\r\nPrompt-Prefix: 5c1e07a2:60," + requestId.substring(0, 8) + ":40\r\n"
                + "Deadline-Ms: " + leftMs() + "\r\nX-Api-Key: key-1\r\nContent-Length: 2\r\n\r\n{}");
            end = receive(Http.buffered(channel.getInputStream()));
        } catch (IOException broken) {
            end = lastStatus == 200 && lastEvent > before ? End.BROKEN : End.FAILED;
        }
        rig.record("client: %s %s at %s: %s %d after event %d, now at %d, from %s", requestId,
            takesUp ? "takes up " + firstId : "begins", edge.name, end, lastStatus, before, lastEvent, sources);
        return end;
    }

    private End receive(InputStream in) throws IOException {
        lastStatus = 0;
        Http.Head head = Http.readHead(in);
        if (head == null) throw new IOException("closed without an answer");
        lastStatus = head.status();
        String retryAfter = head.get("Retry-After");
        retryAfterS = retryAfter == null ? -1 : Double.parseDouble(retryAfter);
        if (lastStatus != 200) {
            Http.readBody(in, head);
            return End.REFUSED;
        }
        StringBuilder text = new StringBuilder();
        while (true) {
            byte[] chunk = Http.readChunk(in);
            if (chunk == null) return lastEvent == count ? End.COMPLETE : End.BROKEN;
            text.append(new String(chunk));
            int end;
            while ((end = text.indexOf("\n\n")) >= 0) {
                onEvent(text.substring(0, end));
                text.delete(0, end + 2);
            }
        }
    }

    private void onEvent(String event) {
        int id = 0;
        String source = "";
        for (String line : event.split("\n")) {
            if (line.startsWith("id: ")) id = Integer.parseInt(line.substring(4));
            if (line.startsWith("data: ")) source = line.substring(6);
        }
        if (id != lastEvent + 1) isInOrder = false;
        lastEvent = id;
        versions.add(source.split(" ")[0]);
        if (sources.isEmpty() || !sources.get(sources.size() - 1).equals(source)) sources.add(source);
    }
}
