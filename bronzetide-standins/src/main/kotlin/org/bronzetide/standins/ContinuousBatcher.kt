package org.bronzetide.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/**
 * The continuous batching of a stand-in engine: each step prefills a chunk of the waiting prompts
 * and gives one token to every decoding sequence. Requests are admitted in the order of arrival.
 */
internal class ContinuousBatcher(private val profile: EngineProfile, scope: CoroutineScope) {
    /** How much slower than its profile the engine runs. */
    @Volatile
    var slowdown = 1.0

    /** The prompt tokens computed, cached ones left out. */
    val prefilledTokens = AtomicLong()

    private val sequences = ConcurrentHashMap<String, EngineSequence>()
    private val arrivals = ConcurrentLinkedQueue<EngineSequence>()
    private val batch = ArrayList<EngineSequence>()
    private val cache = PrefixCache(profile.cacheTokens)
    private val wake = Channel<Unit>(Channel.CONFLATED)

    val runningCount: Int get() = batch.size
    val waitingCount: Int get() = arrivals.size

    init {
        scope.launch { run() }
    }

    fun find(id: String): EngineSequence? = sequences[id]

    fun admit(id: String, prompt: String, outputTokens: Int): EngineSequence {
        val promptTokens = maxOf(1, prompt.length / CHARS_PER_TOKEN)
        val cachedTokens = synchronized(cache) { cache.matchAndInsert(prompt) }
        val prefillTokens = maxOf(1, promptTokens - cachedTokens)
        val sequence = EngineSequence(id, promptTokens, outputTokens, prefillTokens)
        sequences[id] = sequence
        arrivals += sequence
        wake.trySend(Unit)
        return sequence
    }

    fun cancel(id: String): Boolean {
        val sequence = sequences[id] ?: return false
        sequence.isCancelled = true
        sequence.notifySubscribers()
        return true
    }

    private suspend fun run() {
        var engineAheadMs = 0.0
        var atNanos = System.nanoTime()
        while (currentCoroutineContext().isActive) {
            admitArrivals()
            if (batch.isEmpty()) {
                wake.receive()
                atNanos = System.nanoTime()
                engineAheadMs = 0.0
                continue
            }
            engineAheadMs += step() * slowdown / profile.speedup
            if (engineAheadMs < FLUSH_MS) continue
            flush()
            delay(engineAheadMs.toLong())
            val nowNanos = System.nanoTime()
            engineAheadMs = maxOf(engineAheadMs - (nowNanos - atNanos) / 1e6, -MAX_DEBT_MS)
            atNanos = nowNanos
        }
    }

    private fun admitArrivals() {
        batch.filter { it.isDone }.forEach { it.notifySubscribers() }
        batch.removeAll { it.isDone }
        while (batch.size < profile.maxBatch) batch += arrivals.poll() ?: return
    }

    private fun step(): Double {
        var chunk = profile.prefillChunkTokens
        var decoding = 0
        for (sequence in batch) {
            if (sequence.isDone) continue
            if (sequence.remainingPrefillTokens == 0) {
                sequence.producedTokens++
                decoding++
            } else {
                val part = minOf(chunk, sequence.remainingPrefillTokens)
                sequence.remainingPrefillTokens -= part
                chunk -= part
            }
        }
        val prefilled = profile.prefillChunkTokens - chunk
        prefilledTokens.addAndGet(prefilled.toLong())
        return profile.stepMs + decoding * profile.stepMsPerSequence +
            prefilled / profile.prefillTokensPerSecond * 1_000
    }

    private fun flush() {
        batch.forEach { it.notifySubscribers() }
        if (sequences.size > MAX_KEPT) sequences.values.removeIf { it.isDone }
    }

    private companion object {
        const val FLUSH_MS = 12.0
        const val MAX_DEBT_MS = 50.0
        const val MAX_KEPT = 200_000
    }
}
