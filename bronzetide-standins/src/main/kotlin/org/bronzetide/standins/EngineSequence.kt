package org.bronzetide.standins

import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.channels.Channel

/** The state of one request in a simulated engine. */
internal class EngineSequence(
    val id: String,
    val promptTokens: Int,
    val outputTokens: Int,
    private val prefillTokens: Int
) {
    private val subscribers = CopyOnWriteArrayList<Channel<Unit>>()

    var remainingPrefillTokens = prefillTokens

    /** The number of output tokens generated so far. */
    @Volatile
    var produced = 0

    /** The number of prompt tokens prefilled so far. */
    val prefilledTokens: Int get() = prefillTokens - remainingPrefillTokens

    @Volatile
    var isCancelled = false

    val isDone: Boolean get() = produced >= outputTokens || isCancelled

    /** Returns a channel that receives an element now and whenever the sequence progresses. */
    fun subscribe(): Channel<Unit> = Channel<Unit>(Channel.CONFLATED).also {
        subscribers += it
        it.trySend(Unit)
    }

    fun unsubscribe(channel: Channel<Unit>) {
        subscribers -= channel
    }

    fun notifySubscribers() = subscribers.forEach { it.trySend(Unit) }
}
