package org.bronzetide.edge

import java.io.IOException
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.system.measureTimeMillis
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.assertj.core.api.Assertions.assertThatThrownBy
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.SocketAddress

/** Starts of a node while something else holds one of its addresses. */
class AddressInUseTest {
    private enum class Use(val hold: (HostSettings) -> AutoCloseable) {
        CALLERS({ listen(it.callerAddress) }),
        READINESS({ listen(it.readinessAddress) }),
        CONTROL({ listen(it.controlAddress) }),
        PEERS({ DatagramSocket(it.peerPorts.first, InetAddress.getByName(it.ip)) })
    }

    /** Guards against a process that ends at its start, as an address is in use for a moment. */
    @Example
    fun addressThatIsInUseIsBoundOnceItIsFree() = forEachUse { environment, use ->
        val held = use.hold(environment.settings)
        val start = async(Dispatchers.Default) { environment.node.start() }
        delay(HELD_MS)
        assertThat(start.isCompleted).isFalse()
        assertThat(environment.node.isReady).isFalse()
        held.close()
        val isReady = withTimeoutOrNull(READY_TIMEOUT_MS) {
            start.await()
            while (!environment.node.isReady) delay(10)
        }
        assertThat(isReady).isNotNull()
        assertThat(environment.ask("/safe/").status).isEqualTo(200)
    }

    /** Guards against a process that drains for seconds though it has never served. */
    @Example
    fun stopWhileAnAddressIsInUseTakesNoTimeToDrain() = forEachUse { environment, use ->
        use.hold(environment.settings).use {
            val start = async(Dispatchers.Default) {
                runCatching { environment.node.start() }.exceptionOrNull()
            }
            delay(HELD_MS)
            val stopMs = measureTimeMillis {
                environment.node.drain()
                environment.node.close()
            }
            assertThat(stopMs).isLessThan(STOP_LIMIT_MS)
            assertThat(start.await()).isInstanceOf(CancellationException::class.java)
        }
    }

    /** Guards against a process that tries for ever to bind an address it can never have. */
    @Example
    fun addressThatCannotBeBoundIsNamedInTheError() = EdgeTestEnvironment().use { environment ->
        val settings = environment.settings.copy(
            controlAddress = SocketAddress("300.1.1.1", 4_000)
        )
        EdgeNode(settings).use { node ->
            assertThatThrownBy { runBlocking { node.start() } }
                .isInstanceOf(IOException::class.java)
                .hasMessageContaining("control address 300.1.1.1:4000")
        }
    }

    private fun forEachUse(check: suspend CoroutineScope.(EdgeTestEnvironment, Use) -> Unit) =
        Use.entries.forEach { use ->
            EdgeTestEnvironment().use { environment ->
                environment.startSoundTarget("t1")
                environment.writeManifest()
                runBlocking { check(environment, use) }
            }
        }

    private companion object {
        const val HELD_MS = 700L
        const val READY_TIMEOUT_MS = 10_000L
        const val STOP_LIMIT_MS = 1_000L

        fun listen(address: SocketAddress) =
            ServerSocket(address.port, 1, InetAddress.getByName(address.host))
    }
}
