package org.bronzetide.standins

import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.channels.Channel

/** One request inside a stand-in engine. */
internal class EngineSequence(
    val id: String,
    val promptTokens: Int,
    val outputTokens: Int,
    private val prefillTokens: Int
) {
    private val subscribers = CopyOnWriteArrayList<Channel<Unit>>()

    var remainingPrefillTokens = prefillTokens

    @Volatile
    var producedTokens = 0

    /** The prompt tokens computed so far. */
    val prefilledTokens: Int get() = prefillTokens - remainingPrefillTokens

    @Volatile
    var isCancelled = false

    val isDone: Boolean get() = producedTokens >= outputTokens || isCancelled

    fun subscribe(): Channel<Unit> = Channel<Unit>(Channel.CONFLATED).also {
        subscribers += it
        it.trySend(Unit)
    }

    fun unsubscribe(channel: Channel<Unit>) {
        subscribers -= channel
    }

    fun notifySubscribers() = subscribers.forEach { it.trySend(Unit) }
}
