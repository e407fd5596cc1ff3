package org.bronzetide.edge.entry

import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.memory.BodyBudget
import org.bronzetide.edge.standin.SessionServer
import org.bronzetide.http.ConnectionPool
import org.bronzetide.http.Header
import org.bronzetide.http.OutgoingRequest
import org.bronzetide.http.TrafficLoop
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.WeightedService

class QueuedCallerLeavesTest {
    private val consumedUnits = AtomicLong()

    private val quotas = object : AdmissionController.AccountQuotas {
        override suspend fun tryConsume(account: Account, charge: QuotaCharge): Long? {
            consumedUnits.addAndGet(charge.units)
            return null
        }

        override fun refund(account: Account, units: Long) {
            consumedUnits.addAndGet(-units)
        }
    }

    /** Guards against accounts that are charged for requests that no target ran. */
    @Example
    fun callerThatLeavesTheQueueGetsItsUnitsBack() = runBlocking {
        val parts = SessionServer.Parts(manifest = { MANIFEST }, quotas = quotas)
        SessionServer(BodyBudget.ofHeap(), parts).use { server ->
            TrafficLoop().use { loop ->
                withTimeout(5_000) {
                    ConnectionPool(loop, MonotonicClock.System).use { pool ->
                        val connection = pool.open("127.0.0.1", server.port)
                        connection.send(request())
                        while (consumedUnits.get() == 0L) delay(5)
                        connection.close()
                        while (consumedUnits.get() > 0L) delay(5)
                    }
                }
            }
        }
    }

    private fun request() = OutgoingRequest(
        "POST",
        "/a",
        listOf(Header("Host", "h"), Header("X-Api-Key", "k")),
        ByteArray(0)
    )

    private companion object {
        val ROUTE = Route(
            "a", "h", "/", RouteKind.NonIdempotent, timeoutMs = 60_000, targetLatencyMs = 30_000,
            priority = 1, maxAttempts = 1, isPublic = false, listOf(WeightedService("s", 1.0))
        )
        val MANIFEST = Manifest(
            1,
            listOf(ROUTE),
            emptyMap(),
            listOf(Account("a", listOf("k"), null, isQuotaInTokens = false, 1, 100.0, 100.0)),
            CallerLimits()
        )
    }
}
