package org.bronzetide.http

import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel

/**
 * Accepts TCP connections at [host] and [port] on a [TrafficLoop]; port 0 selects a free one.
 *
 * @throws java.io.IOException if the address cannot be bound.
 */
public class TcpServer(
    host: String,
    port: Int,
    private val loop: TrafficLoop,
    backlog: Int = DEFAULT_BACKLOG
) : AutoCloseable {
    private val channel = openChannel(InetSocketAddress(host, port), backlog)
    private val readiness = ChannelReadiness(channel, loop)

    /** The local port; if port 0 was requested, the one that was selected. */
    public val port: Int get() = (channel.localAddress as InetSocketAddress).port

    /**
     * Waits for the next connection.
     *
     * @throws java.io.IOException if accepting fails or the server is closed.
     */
    public suspend fun accept(): TcpSocket {
        while (true) {
            val accepted = channel.accept()
            if (accepted != null) {
                accepted.configureBlocking(false)
                accepted.setOption(StandardSocketOptions.TCP_NODELAY, true)
                return TcpSocket(accepted, loop)
            }
            readiness.awaitAcceptable()
        }
    }

    override fun close() {
        channel.close()
        readiness.close()
    }

    private companion object {
        const val DEFAULT_BACKLOG = 512

        fun openChannel(address: InetSocketAddress, backlog: Int): ServerSocketChannel {
            val channel = ServerSocketChannel.open()
            try {
                channel.configureBlocking(false)
                channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
                return channel.bind(address, backlog)
            } catch (cause: Throwable) {
                channel.close()
                throw cause
            }
        }
    }
}
