package org.bronzetide.edge

import java.net.InetAddress
import java.net.ServerSocket
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.http.TrafficLoop

/** The rehearsal of a start, which is part of the build. */
class StartRehearsalTest {
    /** Guards against a build that never ends, as another program uses a port of the rehearsal. */
    @Example
    fun rehearsalEndsThoughOneOfItsAddressesStaysInUse() {
        val heldPort = EdgeTestEnvironment.freePort()
        ServerSocket(heldPort, 1, InetAddress.getByName("127.0.0.1")).use {
            TrafficLoop().use { traffic ->
                val end = runBlocking {
                    withTimeoutOrNull(LIMIT_MS) { StartRehearsal(traffic).run(heldPort - 2) }
                }
                assertThat(end).isNotNull()
            }
        }
    }

    private companion object {
        const val LIMIT_MS = 12_000L
    }
}
