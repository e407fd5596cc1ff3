package org.bronzetide.node

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.bronzetide.model.JsonFormats
import org.bronzetide.model.TargetId
import org.bronzetide.platform.TargetHost

/**
 * Polls the load reports of all targets every [POLL_INTERVAL_MS] milliseconds.
 *
 * The reports lag behind the targets' state. Only the baseline policy
 * [SchedulingPolicies.LEAST_LOADED] uses them.
 */
internal class LoadReportPoller(
    private val http: HttpClient,
    private val targets: () -> List<TargetHost>
) {
    private val lastLoads = ConcurrentHashMap<TargetId, Int>()

    /** Returns the running and waiting requests that [target] last reported, or 0 if none. */
    fun lastLoad(target: TargetId): Int = lastLoads[target] ?: 0

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                targets().forEach { host -> launch { poll(host) } }
                delay(POLL_INTERVAL_MS)
            }
        }
    }

    private suspend fun poll(host: TargetHost) {
        runCatching {
            val text = http.get("${host.url}/v1/load") {
                timeout { requestTimeoutMillis = POLL_INTERVAL_MS }
            }.bodyAsText()
            val load = JsonFormats.wire.decodeFromString(Load.serializer(), text)
            lastLoads[TargetId(host.id)] = load.running + load.waiting
        }
    }

    @Serializable
    private class Load(val running: Int = 0, val waiting: Int = 0)

    private companion object {
        const val POLL_INTERVAL_MS = 500L
    }
}
