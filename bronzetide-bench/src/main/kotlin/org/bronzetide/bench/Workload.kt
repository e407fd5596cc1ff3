package org.bronzetide.bench

import kotlin.math.ln
import kotlin.random.Random

/** Generates the arrivals of an experiment from a seed, as a superposition of Poisson streams. */
internal class Workload(private val seed: Long, private val fleet: FleetProfile) {
    private val streams = ArrayList<Stream>()

    /**
     * Adds a mix of [kinds] at [load] times the fleet's capacity, split between [callers] by their
     * weights, from [fromMs] to [toMs]. [tier] replaces the tier of the kinds.
     */
    fun addStream(
        kinds: List<RequestKind>,
        load: Double,
        callers: Map<String, Double>,
        fromMs: Double,
        toMs: Double,
        tier: Int? = null
    ): Workload {
        streams += Stream(kinds, load, callers, fromMs, toMs, tier)
        return this
    }

    /** The arrivals of all streams in order of time; equal seeds yield equal arrivals. */
    fun arrivals(): List<Arrival> = streams
        .flatMapIndexed { index, stream -> draw(stream, Random(seed * STREAM_PRIME + index)) }
        .sortedBy { it.atMs }
        .mapIndexed { index, arrival -> arrival.copy(index = index) }

    private fun draw(stream: Stream, random: Random): List<Arrival> {
        val totalShare = stream.kinds.sumOf { it.share }
        val meanSeconds = stream.kinds.sumOf { it.engineSeconds * it.share } / totalShare
        val perSecond = stream.load * fleet.engineSecondsPerSecond / meanSeconds * fleet.speedup
        val arrivals = ArrayList<Arrival>()
        var atMs = stream.fromMs
        while (true) {
            atMs += -ln(1 - random.nextDouble()) / perSecond * 1_000
            if (atMs >= stream.toMs) return arrivals
            arrivals += arrival(stream, atMs, random)
        }
    }

    private fun arrival(stream: Stream, atMs: Double, random: Random): Arrival {
        val kind = pick(stream.kinds.map { it to it.share }, random)
        return Arrival(
            index = 0,
            atMs = atMs,
            caller = pick(stream.callers.toList(), random),
            kind = kind,
            tier = stream.tier ?: kind.tier,
            promptTokens = kind.drawPromptTokens(random),
            outputTokens = kind.drawOutputTokens(random),
            deadlineMs = (kind.deadlineMs / fleet.speedup).toLong(),
            prefixGroup = random.nextInt(PREFIX_GROUPS),
            node = random.nextInt(Int.MAX_VALUE)
        )
    }

    private fun <T> pick(weighted: List<Pair<T, Double>>, random: Random): T {
        var left = random.nextDouble() * weighted.sumOf { it.second }
        for ((value, weight) in weighted) {
            left -= weight
            if (left <= 0) return value
        }
        return weighted.last().first
    }

    private class Stream(
        val kinds: List<RequestKind>,
        val load: Double,
        val callers: Map<String, Double>,
        val fromMs: Double,
        val toMs: Double,
        val tier: Int?
    )

    private companion object {
        const val STREAM_PRIME = 1_000_003L
        const val PREFIX_GROUPS = 40
    }
}
