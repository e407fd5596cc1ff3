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
 * Simulates the continuous batching of an engine: each step prefills a chunk of the prompts in the
 * batch and generates one token for every decoding sequence. Requests enter the batch in the order
 * of arrival.
 */
internal class ContinuousBatcher(private val profile: EngineProfile, scope: CoroutineScope) {
    /** The factor by which the engine is slower than its profile; 1.0 is normal speed. */
    @Volatile
    var slowdown = 1.0

    /** The number of prompt tokens prefilled so far, without cached ones. */
    val prefilledTokens = AtomicLong()

    private val sequences = ConcurrentHashMap<String, EngineSequence>()
    private val arrivals = ConcurrentLinkedQueue<EngineSequence>()
    private val batch = ArrayList<EngineSequence>()
    private val cache = PrefixCache(profile.cacheTokens)
    private val arrivalSignal = Channel<Unit>(Channel.CONFLATED)

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
        arrivalSignal.trySend(Unit)
        return sequence
    }

    fun cancel(id: String): Boolean {
        val sequence = sequences[id] ?: return false
        sequence.isCancelled = true
        sequence.notifySubscribers()
        return true
    }

    /** Simulates steps, and sleeps whenever the simulation is far enough ahead of real time. */
    private suspend fun run() {
        var leadMs = 0.0
        var lastNanos = System.nanoTime()
        while (currentCoroutineContext().isActive) {
            admitArrivals()
            if (batch.isEmpty()) {
                arrivalSignal.receive()
                lastNanos = System.nanoTime()
                leadMs = 0.0
                continue
            }
            leadMs += step() * slowdown / profile.speedup
            if (leadMs < PUBLISH_LEAD_MS) continue
            publishProgress()
            delay(leadMs.toLong())
            val nowNanos = System.nanoTime()
            leadMs = maxOf(leadMs - (nowNanos - lastNanos) / 1e6, -MAX_LAG_MS)
            lastNanos = nowNanos
        }
    }

    private fun admitArrivals() {
        batch.filter { it.isDone }.forEach { it.notifySubscribers() }
        batch.removeAll { it.isDone }
        while (batch.size < profile.maxBatch) batch += arrivals.poll() ?: return
    }

    /** Simulates one step and returns its duration in simulated milliseconds. */
    private fun step(): Double {
        var unusedChunkTokens = profile.prefillChunkTokens
        var decodingCount = 0
        for (sequence in batch) {
            if (sequence.isDone) continue
            if (sequence.remainingPrefillTokens == 0) {
                sequence.produced++
                decodingCount++
            } else {
                val tokens = minOf(unusedChunkTokens, sequence.remainingPrefillTokens)
                sequence.remainingPrefillTokens -= tokens
                unusedChunkTokens -= tokens
            }
        }
        val stepPrefillTokens = profile.prefillChunkTokens - unusedChunkTokens
        prefilledTokens.addAndGet(stepPrefillTokens.toLong())
        return profile.stepMs + decodingCount * profile.stepMsPerSequence +
            stepPrefillTokens / profile.prefillTokensPerSecond * 1_000
    }

    private fun publishProgress() {
        batch.forEach { it.notifySubscribers() }
        if (sequences.size > MAX_RETAINED_SEQUENCES) sequences.values.removeIf { it.isDone }
    }

    private companion object {
        /** How far the simulation runs ahead before it publishes its progress and sleeps. */
        const val PUBLISH_LEAD_MS = 12.0

        /** The largest delay behind real time that the simulation makes up for. */
        const val MAX_LAG_MS = 50.0

        /** Finished sequences are discarded when more than this many are held. */
        const val MAX_RETAINED_SEQUENCES = 200_000
    }
}
