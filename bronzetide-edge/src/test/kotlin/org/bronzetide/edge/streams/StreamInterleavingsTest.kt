package org.bronzetide.edge.streams

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import kotlin.random.Random
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.ManualClock
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.TimerService
import org.bronzetide.edge.peer.PeerMessage
import org.bronzetide.edge.streams.StreamOrigins.Continuation
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.ServedVersions
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin
import org.slf4j.LoggerFactory

/**
 * All interleavings of what may happen to two streams of two versions at three hosts, up to a
 * length. The view of the targets of the last host may be late, but no later than the others take
 * to find a host dead.
 */
class StreamInterleavingsTest {
    private var sequences = 0
    private var continuedCount = 0
    private var refusedCount = 0

    /** Guards against streams whose pieces come from two versions. */
    @Example
    fun piecesOfAStreamAreOfOneVersion() = withoutLog {
        explore(emptyList(), LENGTH)
        // The same after both streams have begun and are known to their keepers, or not.
        val begun = listOf(Step.BeginFirst(0), Step.SecondVersion, Step.BeginSecond(0))
        explore(begun, LENGTH)
        explore(begun + Step.Exchange, LENGTH)
        explore(begun + Step.Exchange + Step.FirstVersionLeaves, LENGTH)
        explore(listOf(Step.Loss) + begun, LENGTH)
        println("$sequences sequences, $continuedCount continued, $refusedCount refused")
        assertThat(continuedCount).isGreaterThan(sequences / 10)
        assertThat(refusedCount).isPositive()
    }

    private fun explore(prefix: List<Step>, depth: Int) {
        val fleet = Fleet()
        prefix.forEach { fleet.apply(it) }
        val steps = fleet.steps()
        if (depth == 0 || steps.isEmpty()) {
            sequences++
            continuedCount += fleet.continuedCount
            refusedCount += fleet.refusedCount
            assertThat(fleet.mixed).describedAs(prefix.toString()).isFalse()
            return
        }
        steps.forEach { explore(prefix + it, depth - 1) }
    }

    private fun withoutLog(block: () -> Unit) {
        val logger = LoggerFactory.getLogger("decisions") as Logger
        val level = logger.level
        logger.level = Level.OFF
        try {
            block()
        } finally {
            logger.level = level
        }
    }

    private sealed class Step {
        /** The first stream begins at version 1, the second one at version 2. */
        data class BeginFirst(val host: Int) : Step()

        data class BeginSecond(val host: Int) : Step()

        data class TakeUp(val host: Int, val isSecond: Boolean) : Step()

        /** Targets of version 2 appear, but not yet to the last host. */
        data object SecondVersion : Step()

        data object LastHostSees : Step()

        data object FirstVersionLeaves : Step()

        /** All that is due is sent and arrives, as does what is sent after it. */
        data object Exchange : Step()

        /** All that is due is sent, and neither that nor what is sent after it arrives. */
        data object Loss : Step()

        data class Kill(val host: Int) : Step()

        data class Restart(val host: Int) : Step()

        /** The hosts learn which others live. */
        data object Members : Step()
    }

    /** Three hosts, their network and what the callers have got. */
    private class Fleet {
        val clock = ManualClock(timeMs = 1_000_000)
        private val hosts = List(HOSTS) { Host(it) }
        private var isLosing = false
        private var current = listOf("1")
        private var lastSees = listOf("1")
        private var first: String? = null
        private var second: String? = null
        private var isMembershipCurrent = true
        private var hasDeaths = false
        var mixed = false
            private set
        var continuedCount = 0
            private set
        var refusedCount = 0
            private set

        init {
            hosts.forEach { it.start(isSettled = true) }
            updateMembers()
        }

        fun steps(): List<Step> = buildList {
            val alive = hosts.filter { it.isAlive }
            if (first == null && "1" in current) alive.forEach { add(Step.BeginFirst(it.index)) }
            alive.filter { second == null && "2" in it.seen() }
                .forEach { add(Step.BeginSecond(it.index)) }
            if (first != null) alive.forEach { add(Step.TakeUp(it.index, isSecond = false)) }
            if (second != null) alive.forEach { add(Step.TakeUp(it.index, isSecond = true)) }
            if (current == listOf("1")) add(Step.SecondVersion)
            if (lastSees != current) add(Step.LastHostSees)
            if (current.size > 1) add(Step.FirstVersionLeaves)
            add(Step.Exchange)
            if (!isLosing) add(Step.Loss)
            hosts.forEach { add(if (it.isAlive) Step.Kill(it.index) else Step.Restart(it.index)) }
            if (!isMembershipCurrent) add(Step.Members)
        }

        fun apply(step: Step) {
            when (step) {
                is Step.BeginFirst -> first = begin(step.host, FIRST, "1")

                is Step.BeginSecond -> second = begin(step.host, SECOND, "2")

                is Step.TakeUp -> takeUp(step)

                Step.SecondVersion -> show(listOf("1", "2"))

                Step.FirstVersionLeaves -> show(listOf("2"))

                Step.LastHostSees -> {
                    lastSees = current
                    hosts.last().observe()
                }

                Step.Exchange -> {
                    isLosing = false
                    run(FLUSH_MS)
                }

                Step.Loss -> {
                    isLosing = true
                    run(FLUSH_MS)
                }

                is Step.Kill -> {
                    hosts[step.host].isAlive = false
                    isMembershipCurrent = false
                    hasDeaths = true
                }

                is Step.Restart -> {
                    hosts[step.host].start(isSettled = false)
                    isMembershipCurrent = false
                }

                Step.Members -> {
                    if (hasDeaths) apply(Step.LastHostSees)
                    updateMembers()
                }
            }
        }

        private fun show(versions: List<String>) {
            current = versions
            hosts.forEach { it.observe() }
        }

        private fun begin(host: Int, id: StreamId, version: String): String {
            hosts[host].exchange.record(id, StreamOrigin(SERVICE, SoftwareVersion(version)))
            return version
        }

        private fun takeUp(step: Step.TakeUp) {
            val id = if (step.isSecond) SECOND else FIRST
            val host = hosts[step.host]
            var result: Continuation? = null
            host.resolver.resolve(id, listOf(SERVICE)) { result = it }
            if (result == null) run(TIMEOUT_MS)
            when (val found = checkNotNull(result) { "no decision on $step" }) {
                is Continuation.Unknown -> refusedCount++

                is Continuation.At -> {
                    continuedCount++
                    val begunAt = if (step.isSecond) second else first
                    mixed = mixed || found.origin.version.name != begunAt
                    host.exchange.record(id, found.origin)
                }
            }
        }

        private fun run(durationMs: Long) {
            val endMs = clock.nowMs() + durationMs
            while (clock.nowMs() < endMs) {
                clock.advance(STEP_MS)
                hosts.filter { it.isAlive }.forEach { it.timers.runDue() }
            }
        }

        private fun updateMembers() {
            val members = hosts.filter { it.isAlive }
                .map { Member(it.id, "z1", it.ip, 1, 0, MemberState.ALIVE) }
            hosts.filter { it.isAlive }.forEach { it.exchange.updateMembers(members) }
            isMembershipCurrent = true
            hasDeaths = false
        }

        private fun send(ip: String, message: PeerMessage, from: Host) {
            val to = hosts.first { it.ip == ip }
            if (isLosing || !to.isAlive || !from.isAlive) return
            when (message) {
                is PeerMessage.StreamPush -> to.exchange.onPush(message)
                is PeerMessage.StreamQuery -> to.exchange.onQuery(message, from.ip)
                is PeerMessage.StreamReply -> to.exchange.onReply(message, from.ip)
                else -> error("unexpected message $message")
            }
        }

        inner class Host(val index: Int) {
            val ip = "10.0.0.$index"
            var isAlive = false
            var id = NodeId("")
                private set
            lateinit var timers: TimerService
                private set
            lateinit var exchange: StreamExchange
                private set
            lateinit var resolver: StreamResolver
                private set
            private lateinit var versions: ServedVersions
            private var starts = 0

            fun start(isSettled: Boolean) {
                id = NodeId("h$index~${starts++}")
                timers = TimerService(clock)
                versions = ServedVersions(windowMs = 20_000)
                val log = DecisionLog(clock, omitsRequests = true)
                val self = this
                exchange = StreamExchange(
                    "h$index",
                    clock,
                    timers,
                    versions,
                    log,
                    { to, message -> send(to, message, self) },
                    random = Random(index)
                )
                resolver = StreamResolver(
                    clock,
                    versions,
                    exchange,
                    log,
                    { false },
                    { false },
                    true,
                    { it(false) },
                    { _, _, onResult -> onResult(StoredOrigins.Found.Unavailable) }
                )
                isAlive = true
                exchange.start()
                if (isSettled) versions.settle()
                observe()
            }

            fun seen(): List<String> = if (index == HOSTS - 1) lastSees else current

            fun observe() {
                val targets = seen().map {
                    FleetTarget("t$it", SERVICE, "z1", 8, false, isEngine = true, version = it)
                }
                versions.updateTargets(targets, clock.nowMs())
                exchange.updateSharedServices()
            }
        }
    }

    private companion object {
        const val HOSTS = 3
        const val LENGTH = 4
        const val SERVICE = "chat"
        const val STEP_MS = 20L
        const val FLUSH_MS = 60L
        const val TIMEOUT_MS = 100L
        val FIRST = StreamId.of("first")
        val SECOND = StreamId.of("second")
    }
}
