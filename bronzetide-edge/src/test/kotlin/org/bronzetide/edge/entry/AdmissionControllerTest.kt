package org.bronzetide.edge.entry

import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.forwarding.Admission
import org.bronzetide.edge.streams.StreamOrigins
import org.bronzetide.http.Framing
import org.bronzetide.http.HeaderList
import org.bronzetide.http.IncomingRequest
import org.bronzetide.http.MessageBody
import org.bronzetide.platform.fleet.Account
import org.bronzetide.platform.fleet.CallerLimits
import org.bronzetide.platform.fleet.Manifest

/** Requests that arrive while the whole fleet starts again, before the first manifest. */
class AdmissionControllerTest {
    private var manifest: Manifest? = null
    private val firstManifest = CompletableDeferred<Unit>()
    private val controller = AdmissionController(
        { manifest },
        UnlimitedQuotas,
        StreamOrigins.None,
        awaitManifest = firstManifest::await
    )

    @Example
    fun requestWaitsForTheFirstManifest() = runBlocking<Unit> {
        val admission = async { controller.admit(request(), ByteArray(0), arrivedAtMs = 0) }
        repeat(10) { yield() }
        assertThat(admission.isCompleted).isFalse()
        manifest = Manifest(1, emptyList(), emptyMap(), emptyList(), CallerLimits())
        firstManifest.complete(Unit)
        assertThat((admission.await() as Admission.Refused).reason).isEqualTo("no route")
    }

    @Example
    fun requestIsRefusedAsNotRunIfNoManifestArrives() = runBlocking<Unit> {
        val refusal = controller.admit(request(), ByteArray(0), arrivedAtMs = 0)
        assertThat((refusal as Admission.Refused).status).isEqualTo(503)
        assertThat(refusal.retryAfterMs).isPositive()
    }

    private fun request() = IncomingRequest(
        "GET",
        "/x/",
        HeaderList(emptyList()),
        MessageBody(ByteReadChannel.Empty, Framing.Length(0)),
        isKeepAlive = true
    )

    private object UnlimitedQuotas : AdmissionController.AccountQuotas {
        override suspend fun tryConsume(account: Account, charge: QuotaCharge): Long? = null

        override fun refund(account: Account, units: Long) = Unit
    }
}
