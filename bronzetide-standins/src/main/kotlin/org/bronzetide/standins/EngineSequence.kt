package org.bronzetide.standins

import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.channels.Channel

/** One request inside a stand-in engine. */
internal class EngineSequence(
    val id: String,
    val promptTokens: Int,
    val outputTokens: Int,
    var prefillLeft: Int
) {
    private val listeners = CopyOnWriteArrayList<Channel<Unit>>()

    @Volatile
    var produced = 0

    @Volatile
    var isCancelled = false

    val isDone: Boolean get() = produced >= outputTokens || isCancelled

    fun listen(): Channel<Unit> = Channel<Unit>(Channel.CONFLATED).also {
        listeners += it
        it.trySend(Unit)
    }

    fun unlisten(channel: Channel<Unit>) {
        listeners -= channel
    }

    fun publish() = listeners.forEach { it.trySend(Unit) }
}
