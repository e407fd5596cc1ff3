package org.bronzetide.standins

import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import org.bronzetide.model.JsonFormats
import org.bronzetide.platform.Hosts

/**
 * Simulates the platform's host list, which publishes each change with a delay.
 *
 * @param port the port to listen on; 0 picks a free one
 * @param publishDelayMs the delay in milliseconds until a change is visible to readers
 */
class HostListStandIn(port: Int = 0, private val publishDelayMs: Long = 0) : AutoCloseable {
    private val publisher = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "host-list-lag").apply { isDaemon = true }
    }

    @Volatile
    private var publishedList = Hosts()
    private var actualList = Hosts()
    private val server = StandInServer(port) {
        get("/hosts") {
            call.respondText(JsonFormats.wire.encodeToString(Hosts.serializer(), publishedList))
        }
    }

    /** The base URL. */
    val url: String get() = server.url

    /** The list that readers get now. */
    val published: Hosts get() = publishedList

    /** Applies [change] to the list; readers see the result after the delay. */
    @Synchronized
    fun update(change: (Hosts) -> Hosts) {
        actualList = change(actualList).copy(revision = actualList.revision + 1)
        val next = actualList
        if (publishDelayMs == 0L) {
            publishedList = next
        } else {
            publisher.schedule({ publishedList = next }, publishDelayMs, TimeUnit.MILLISECONDS)
        }
    }

    override fun close() {
        publisher.shutdownNow()
        server.close()
    }
}
