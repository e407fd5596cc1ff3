package org.bronzetide.standins

import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import org.bronzetide.model.JsonFormats
import org.bronzetide.platform.Hosts

/** Plays the platform's host list, which shows each change [publishDelayMs] milliseconds late. */
class HostListStandIn(port: Int = 0, private val publishDelayMs: Long = 0) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "host-list-lag").apply { isDaemon = true }
    }

    @Volatile
    private var current = Hosts()
    private var latest = Hosts()
    private val server = StandInServer(port) {
        get("/hosts") {
            call.respondText(JsonFormats.wire.encodeToString(Hosts.serializer(), current))
        }
    }

    /** The base URL. */
    val url: String get() = server.url

    /** The list as it is current now. */
    val published: Hosts get() = current

    /** Changes the latest; the list shows it after the lag. */
    @Synchronized
    fun update(change: (Hosts) -> Hosts) {
        latest = change(latest).copy(revision = latest.revision + 1)
        val next = latest
        if (publishDelayMs ==
            0L
        ) {
            current = next
        } else {
            timer.schedule({ current = next }, publishDelayMs, TimeUnit.MILLISECONDS)
        }
    }

    override fun close() {
        timer.shutdownNow()
        server.close()
    }
}
