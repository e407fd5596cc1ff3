package org.bronzetide.edge.entry

import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.http.CallerConnection
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.SocketAddress

class ConnectionAcceptorTest {
    /** Guards against a process that serves no caller any more after one has exhausted memory. */
    @Example
    fun errorOnOneConnectionEndsNeitherOthersNorTheAccepting() = TrafficLoop().use { loop ->
        val address = SocketAddress("127.0.0.1", EdgeTestEnvironment.freePort())
        val connections = AtomicInteger()
        val log = DecisionLog(MonotonicClock.System)
        val acceptor = ConnectionAcceptor(loop, address, log) { socket ->
            when (connections.incrementAndGet()) {
                1 -> awaitCancellation()
                2 -> throw OutOfMemoryError("on purpose")
                else -> CallerConnection(socket).use { it.send(200, emptyList(), ByteArray(0)) }
            }
        }
        acceptor.use {
            it.start(CoroutineScope(SupervisorJob() + loop))
            val waiting = connect(address)
            connect(address).use { failing ->
                assertThat(failing.getInputStream().read()).isEqualTo(-1)
            }
            connect(address).use { served ->
                assertThat(served.getInputStream().bufferedReader().readLine()).contains("200")
            }
            waiting.soTimeout = 200
            assertThat(runCatching { waiting.getInputStream().read() }.isFailure).isTrue()
            waiting.close()
        }
    }

    private fun connect(address: SocketAddress) =
        Socket(address.host, address.port).apply { soTimeout = 3_000 }
}
