package org.bronzetide.standins

import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import org.bronzetide.model.JsonFormats
import org.bronzetide.platform.Hosts

/** Plays the platform's host list, which shows each change [lagMs] milliseconds late. */
class HostListStandIn(port: Int = 0, private val lagMs: Long = 0) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "host-list-lag").apply { isDaemon = true }
    }

    @Volatile
    private var shown = Hosts()
    private var truth = Hosts()
    private val server = StandInServer(port) {
        get("/hosts") {
            call.respondText(JsonFormats.wire.encodeToString(Hosts.serializer(), shown))
        }
    }

    /** The base URL. */
    val url: String get() = server.url

    /** The list as it is shown now. */
    val visible: Hosts get() = shown

    /** Changes the truth; the list shows it after the lag. */
    @Synchronized
    fun update(change: (Hosts) -> Hosts) {
        truth = change(truth).copy(revision = truth.revision + 1)
        val next = truth
        if (lagMs ==
            0L
        ) {
            shown = next
        } else {
            timer.schedule({ shown = next }, lagMs, TimeUnit.MILLISECONDS)
        }
    }

    override fun close() {
        timer.shutdownNow()
        server.close()
    }
}
