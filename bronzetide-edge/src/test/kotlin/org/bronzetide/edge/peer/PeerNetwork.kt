package org.bronzetide.edge.peer

import kotlin.random.Random
import org.bronzetide.coordination.ManualClock
import org.bronzetide.coordination.TimerService
import org.bronzetide.edge.entry.QuotaLimiterAdapter
import org.bronzetide.edge.standin.EdgeTestEnvironment
import org.bronzetide.edge.streams.RouteServices
import org.bronzetide.edge.streams.StoredOrigins
import org.bronzetide.edge.streams.StreamExchange
import org.bronzetide.edge.streams.StreamResolver
import org.bronzetide.edge.streams.StreamWindow
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.scheduling.fleet.FleetDecision
import org.bronzetide.scheduling.fleet.FleetOutcome
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.FleetTicket
import org.bronzetide.scheduling.fleet.PromptPart
import org.bronzetide.scheduling.fleet.QuotaLimiter
import org.bronzetide.scheduling.fleet.RolloutPolicy
import org.bronzetide.scheduling.fleet.TargetRef
import org.bronzetide.scheduling.streams.ServedVersions
import org.bronzetide.scheduling.streams.StreamId

/**
 * Hosts that exchange messages through a network that loses a share of [lossShare] of them and
 * isolates some hosts. All of it runs on one clock, in steps of [STEP_MS] milliseconds.
 */
internal class PeerNetwork(seed: Long, private val lossShare: Double = 0.0) {
    /** Started long before the first host, as the clock of a machine is. */
    val clock = ManualClock(timeMs = 3_600_000)
    val hosts = ArrayList<Host>()
    val random = Random(seed)
    private var startedCount = 0

    /** Whether no messages pass between two hosts, in either direction. */
    var isSeparated: (Host, Host) -> Boolean = { _, _ -> false }

    /** The size of the largest datagram that was sent, in bytes. */
    var largestDatagram = 0
        private set

    /** What the store tells of a stream. */
    var storedOrigins: (StreamId) -> StoredOrigins.Found = { StoredOrigins.Found.Missing }

    /** Whether the store can be read, and has no other versions than the hosts know. */
    var areVersionsConfirmed = false

    /** The messages that are lost besides. */
    var losesMessage: (PeerMessage) -> Boolean = { false }

    /** Starts [count] hosts at the same time, which know the first one as their seed. */
    fun startHosts(count: Int): List<Host> {
        val started = List(count) { createHost() }
        started.forEach { it.coordinator.start() }
        return started
    }

    fun startHost(): Host = startHosts(1).single()

    /** Replaces the processes of all hosts at once; none of them knows what the old ones did. */
    fun restartAll() {
        val names = hosts.map { it.name }
        hosts.clear()
        startedCount = 0
        startHosts(names.size)
    }

    /** Replaces the process of [host]; the new one has another name and address. */
    fun replace(host: Host): Host {
        hosts.remove(host)
        return startHost()
    }

    /** Replaces the process of [host]; the new one has the same name and address. */
    fun restart(host: Host): Host {
        hosts.remove(host)
        return Host(host.index).also {
            hosts += it
            it.coordinator.start()
        }
    }

    fun run(durationMs: Long) {
        repeat((durationMs / STEP_MS).toInt()) {
            clock.advance(STEP_MS)
            hosts.forEach { it.timers.runDue() }
        }
    }

    /** Creates a host that does not send anything until its coordinator is started. */
    fun createHost(): Host = Host(startedCount++).also { hosts += it }

    private fun deliver(from: Host, to: SocketAddress, message: PeerMessage) {
        from.onSent?.invoke(message)
        val receiver = hosts.find { it.ip == to.host } ?: return
        val isCutOff = from.isIsolated ||
            receiver.isIsolated ||
            isSeparated(from, receiver) ||
            isSeparated(receiver, from) ||
            losesMessage(message)
        for (datagram in from.codec.encode(message, to.host)) {
            largestDatagram = maxOf(largestDatagram, datagram.size)
            val isLost = isCutOff || random.nextDouble() < lossShare
            if (isLost || from !in hosts) continue
            receiver.codec.decode(datagram, from.ip)
                ?.let { receiver.coordinator.onMessage(it, from.ip) }
        }
    }

    inner class Host(val index: Int) {
        val name = "n$index"
        val ip = "10.0.0.${index + 1}"
        val timers = TimerService(clock)
        val quotas = QuotaLimiter()
        val codec = PeerMessageCodec(clock, DecisionLog(clock, omitsRequests = true))
        var isIsolated = false
        var onSent: ((PeerMessage) -> Unit)? = null
        var manifestVersion = 1L
        val newerManifestAt = HashSet<String>()

        /** The targets that it knows to leave from other hosts. */
        val departures = ArrayList<TargetRef>()
        private val seed = hosts.firstOrNull { !it.isIsolated }
        private var sequences = 1_000L
        val scheduler = FleetScheduler("z1", Random(index))
        val target = FleetTarget("t1", "model", "z1", 8, isLeaving = false, isEngine = true)
        val rollouts = RolloutPolicy(0.1, 50.0) { exchange.hostCount }
        private val exchange: RolloutExchange = RolloutExchange(rollouts, hasOtherSeeds = true)
        val versions = ServedVersions(windowMs = STREAM_WINDOW_MS)
        var isHistoryRead = false
        private val createdAtMs = clock.nowMs()
        val window = StreamWindow(timers, versions)
        val routes = RouteServices()
        val streams = StreamExchange(
            name,
            clock,
            timers,
            versions,
            DecisionLog(clock, omitsRequests = true),
            { to, message -> deliver(this, SocketAddress(to, 7_600), message) },
            { routes.ambiguous(clock.nowMs()) },
            Random(index)
        )
        val origins = StreamResolver(
            clock,
            versions,
            streams,
            DecisionLog(clock, omitsRequests = true),
            { routes.isAmbiguous(it, clock.nowMs()) },
            {
                clock.nowMs() - createdAtMs < STREAM_START_MS &&
                    !(isHistoryRead && streams.hasPeers)
            },
            hasOtherHosts = seed != null,
            { onResult -> onResult(areVersionsConfirmed) },
            { id, _, onResult -> onResult(storedOrigins(id)) }
        )
        private val settings = EdgeTestEnvironment.settings(1, name).copy(
            ip = ip,
            peerPorts = 7_600..7_600,
            seeds = listOf(SocketAddress(seed?.ip ?: ip, 8_000))
        )
        val coordinator = PeerCoordinator(
            settings,
            clock,
            timers,
            scheduler,
            quotas,
            DecisionLog(clock, omitsRequests = true),
            PeerCoordinator.Environment(
                { to, message -> deliver(this, to, message) },
                { manifestVersion },
                { newerManifestAt += it },
                { departures += it },
                exchange,
                streams
            ),
            Random(random.nextLong())
        )

        init {
            scheduler.updateTargets(listOf(target))
        }

        fun send(count: Int) = repeat(count) {
            val ticket = FleetTicket(it.toLong(), "model", 0, 10, 1, 100_000, 100_000)
            scheduler.enroll(ticket, 0) { decision -> check(decision is FleetDecision.Send) }
        }

        fun isAggregator(): Boolean = coordinator.aggregatorName.startsWith("$name~")

        /** Whether the first host has this one as its backup of the aggregator. */
        fun isBackup(): Boolean = hosts.first().coordinator.backupName.startsWith("$name~")

        /** Whether a request of [account] over [units] is granted, with [QUOTA_PER_S] * [share]. */
        fun admits(units: Long, account: String = "a", share: Double = 1.0): Boolean {
            val perSecond =
                QUOTA_PER_S * share * (1 + 0.1 * QuotaLimiterAdapter.GRANTED_OVERAGE_SHARE)
            val slack = QUOTA_SLACK * QuotaLimiterAdapter.GRANTED_SLACK_SHARE
            val waitMs =
                quotas.tryConsume(account, perSecond, perSecond, units, clock.nowMs(), slack)
            return waitMs == null
        }

        val blocksPoison: Boolean get() = scheduler.poisonParts.findBlocked(listOf(POISON)) != null

        /** A target crashes during a run of a prompt with the poison part. */
        fun loseTarget() {
            val sequence = ++sequences
            val ticket = FleetTicket(
                sequence,
                "model",
                priority = 0,
                promptTokens = 10,
                expectedEvents = 1,
                dueAtMs = Long.MAX_VALUE / 2,
                startByMs = Long.MAX_VALUE / 2,
                sharedParts = listOf(SYSTEM, POISON)
            )
            scheduler.enroll(ticket, clock.nowMs()) { check(it is FleetDecision.Send) }
            scheduler.release(sequence, FleetOutcome.CRASHED, clock.nowMs() + STEP_MS)
            val servedAtMs = clock.nowMs() + 2 * STEP_MS
            hosts.forEach { it.scheduler.poisonParts.onServed(listOf(SYSTEM), servedAtMs) }
        }

        fun peerCount(): Int = scheduler.views(0).single().peerCount
    }

    companion object {
        const val STEP_MS = 10L
        const val STREAM_WINDOW_MS = 20_000L
        const val STREAM_START_MS = 2_000L
        const val QUOTA_PER_S = 60_000.0
        const val QUOTA_SLACK = 140_000.0
        private val SYSTEM = PromptPart("system")
        private val POISON = PromptPart("poison")
    }
}
