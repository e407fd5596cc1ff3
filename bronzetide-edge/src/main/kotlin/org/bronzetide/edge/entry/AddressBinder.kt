package org.bronzetide.edge.entry

import java.io.IOException
import java.net.BindException
import java.nio.channels.ClosedChannelException
import java.nio.channels.UnresolvedAddressException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.SocketAddress

/**
 * Binds the addresses of a process that starts.
 *
 * An address may be unavailable for a while: the process before this one still drains, a connection
 * was given the port as its local one, or the interface does not have the IP address yet. It is
 * tried again until it is bound; the log names the address and the cause.
 */
internal class AddressBinder(private val clock: MonotonicClock, private val log: DecisionLog) {
    /**
     * Calls [bind] until it has bound [address]; [use] is the word for it in messages.
     *
     * @throws IOException if [address] cannot be bound for a cause that does not pass by itself.
     * @throws CancellationException if the socket is closed meanwhile.
     */
    suspend fun bind(use: String, address: SocketAddress, bind: () -> Unit) {
        val startedAtMs = clock.nowMs()
        var nextLineAtMs = startedAtMs
        while (true) {
            val cause = tryToBind(use, address, bind) ?: break
            val nowMs = clock.nowMs()
            if (nowMs >= nextLineAtMs) {
                nextLineAtMs = nowMs + LINE_INTERVAL_MS
                log.failure(
                    "address not available",
                    cause,
                    "use" to use,
                    "address" to address.toString(),
                    "waitedMs" to nowMs - startedAtMs
                )
            }
            delay(RETRY_INTERVAL_MS)
        }
        if (nextLineAtMs == startedAtMs) return
        log.stateChange(
            "address bound",
            "use" to use,
            "address" to address.toString(),
            "waitedMs" to clock.nowMs() - startedAtMs
        )
    }

    /** Returns `null` if [bind] succeeds, or the cause if it may succeed later. */
    private fun tryToBind(use: String, address: SocketAddress, bind: () -> Unit): BindException? =
        try {
            bind()
            null
        } catch (cause: ClosedChannelException) {
            throw CancellationException("closed before the $use address was bound", cause)
        } catch (cause: BindException) {
            // The JDK has one class for all causes; the text is that of the operating system.
            if (cause.message == PERMISSION_DENIED) throw failure(use, address, cause)
            cause
        } catch (cause: IOException) {
            throw failure(use, address, cause)
        } catch (cause: UnresolvedAddressException) {
            throw failure(use, address, cause)
        }

    private fun failure(use: String, address: SocketAddress, cause: Exception) = IOException(
        "cannot bind the $use address $address: ${cause.message ?: cause.javaClass.name}",
        cause
    )

    private companion object {
        const val RETRY_INTERVAL_MS = 100L
        const val LINE_INTERVAL_MS = 1_000L
        const val PERMISSION_DENIED = "Permission denied"
    }
}
