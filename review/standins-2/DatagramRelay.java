import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes the datagrams between one process and all others, until it is cut. The process has an
 * inner port of its own, so that each side meets the relay at the other side's address.
 */
final class DatagramRelay {
    /** The sockets that send to the single process, by the address of the other one. */
    private final Map<String, DatagramSocket> senders = new ConcurrentHashMap<>();
    private volatile boolean isCut;

    /** Relays between [single], whose inner port is [singlePort], and the other processes. */
    DatagramRelay(Rig rig, Rig.Edge single, int singlePort) throws IOException {
        DatagramSocket fromOthers = new DatagramSocket(new InetSocketAddress(single.ip, rig.innerPort));
        SocketAddress toSingle = new InetSocketAddress(single.ip, singlePort);
        for (Rig.Edge other : rig.edges) {
            if (other == single) continue;
            // Receivers tell senders by their addresses, so each direction is sent from its own.
            DatagramSocket asOther = new DatagramSocket(new InetSocketAddress(other.ip, singlePort));
            DatagramSocket asSingle = new DatagramSocket(new InetSocketAddress(single.ip, 0));
            SocketAddress toOther = new InetSocketAddress(other.ip, rig.innerPort);
            senders.put(other.ip, asOther);
            Rig.daemon(() -> pass(asOther, asSingle, toOther));
        }
        Rig.daemon(() -> passToSingle(fromOthers, toSingle));
    }

    void setCut(boolean cut) {
        isCut = cut;
    }

    private void pass(DatagramSocket from, DatagramSocket via, SocketAddress to) {
        byte[] buffer = new byte[65_507];
        while (true) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                from.receive(packet);
                if (!isCut) via.send(new DatagramPacket(buffer, packet.getLength(), to));
            } catch (IOException lost) {
                // A datagram may be lost.
            }
        }
    }

    private void passToSingle(DatagramSocket from, SocketAddress to) {
        byte[] buffer = new byte[65_507];
        while (true) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                from.receive(packet);
                DatagramSocket via = senders.get(packet.getAddress().getHostAddress());
                if (!isCut && via != null) via.send(new DatagramPacket(buffer, packet.getLength(), to));
            } catch (IOException lost) {
                // A datagram may be lost.
            }
        }
    }
}
