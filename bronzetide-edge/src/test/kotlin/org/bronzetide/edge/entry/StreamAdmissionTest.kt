package org.bronzetide.edge.entry

import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.forwarding.Admission
import org.bronzetide.edge.streams.StreamOrigins
import org.bronzetide.edge.streams.StreamOrigins.Continuation
import org.bronzetide.http.Framing
import org.bronzetide.http.Header
import org.bronzetide.http.HeaderList
import org.bronzetide.http.IncomingRequest
import org.bronzetide.http.MessageBody
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest
import org.bronzetide.platform.fleet.Route
import org.bronzetide.platform.fleet.RouteKind
import org.bronzetide.platform.fleet.WeightedService
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.StreamOrigin

/**
 * Requests that take up streams. Guards against those that run although nobody knows where their
 * stream began, and against quotas that are charged for refused ones.
 */
class StreamAdmissionTest {
    private var continuation: Continuation = Continuation.Unknown("not known")
    private val asked = ArrayList<Pair<String?, List<String>>>()
    private var chargeCount = 0
    private val controller = AdmissionController({ MANIFEST }, Quotas(), Origins())

    @Example
    fun streamThatIsKnownGoesOnAtItsServiceAndVersion() {
        continuation = Continuation.At(ORIGIN)
        repeat(20) {
            val admission = admit("/stream/", "Last-Event-Id" to "2", "Resumes" to "first")
            val call = (admission as Admission.Admitted).call
            assertThat(call.service).isEqualTo(ORIGIN.service)
            assertThat(call.version).isEqualTo(ORIGIN.version)
            assertThat(call.firstRequestId).isEqualTo("first")
        }
        assertThat(asked.toSet()).containsExactly("first" to listOf("a", "b"))
        assertThat(chargeCount).isEqualTo(20)
    }

    @Example
    fun streamThatIsNotKnownIsRefusedAndNotCharged() {
        continuation = Continuation.Unknown("not known")
        val refusal = refusalOf("/stream/", "Last-Event-Id" to "2", "Resumes" to "first")
        assertThat(refusal.status).isEqualTo(503)
        assertThat(refusal.reason).isEqualTo("not known")
        assertThat(refusal.retryAfterMs).isNull()
        assertThat(refusal.account).isEqualTo("desk")
        assertThat(chargeCount).isZero()
    }

    @Example
    fun streamThatMayBeKnownSoonIsRefusedWithTheTimeToRetry() {
        continuation = Continuation.Unknown("just started", retryAfterMs = 700)
        val refusal = refusalOf("/stream/", "Last-Event-Id" to "2", "Resumes" to "first")
        assertThat(refusal.retryAfterMs).isEqualTo(700)
    }

    @Example
    fun streamThatTheCallerDoesNotNameIsAskedForWithoutAnId() {
        refusalOf("/stream/", "Last-Event-Id" to "2")
        assertThat(asked).containsExactly(null to listOf("a", "b"))
    }

    @Example
    fun requestsThatTakeNothingUpAreNotAskedFor() {
        listOf(
            admit("/stream/"),
            admit("/stream/", "Resumes" to "first"),
            admit("/plain/", "Last-Event-Id" to "2", "Resumes" to "first")
        ).forEach {
            assertThat((it as Admission.Admitted).call.version).isNull()
        }
        assertThat(asked).isEmpty()
        assertThat(chargeCount).isEqualTo(3)
    }

    private fun refusalOf(path: String, vararg headers: Pair<String, String>) =
        admit(path, *headers) as Admission.Refused

    private fun admit(path: String, vararg headers: Pair<String, String>) = runBlocking {
        val all = listOf("Host" to "h.example", "X-Api-Key" to "key-1", "Request-Id" to "second")
        val request = IncomingRequest(
            "POST",
            path,
            HeaderList((all + headers).map { Header(it.first, it.second) }),
            MessageBody(ByteReadChannel.Empty, Framing.Length(0)),
            isKeepAlive = true
        )
        controller.admit(request, ByteArray(0), arrivedAtMs = 0)
    }

    private inner class Origins : StreamOrigins {
        override fun onFirstEvent(firstRequestId: String, origin: StreamOrigin) = Unit

        override suspend fun find(firstRequestId: String?, services: List<String>): Continuation {
            asked += firstRequestId to services
            return continuation
        }
    }

    private inner class Quotas : AdmissionController.AccountQuotas {
        override suspend fun tryConsume(account: Account, charge: QuotaCharge): Long? {
            chargeCount++
            return null
        }

        override fun refund(account: Account, units: Long) = Unit
    }

    private companion object {
        val ORIGIN = StreamOrigin("b", SoftwareVersion("v2"))
        val MANIFEST = Manifest(
            1,
            listOf(
                route("stream", RouteKind.Streaming(true, 300)),
                route("plain", RouteKind.Idempotent)
            ),
            emptyMap(),
            listOf(Account("desk", listOf("key-1"), null, false, 1, 0.0, 0.0)),
            CallerLimits()
        )

        fun route(name: String, kind: RouteKind) = Route(
            name,
            "h.example",
            "/$name/",
            kind,
            timeoutMs = 1_000,
            targetLatencyMs = 100,
            priority = 0,
            maxAttempts = 2,
            isPublic = false,
            listOf(WeightedService("a", 1.0), WeightedService("b", 1.0))
        )
    }
}
