package org.bronzetide.edge.peer

import kotlin.random.Random
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.Membership
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RendezvousHash
import org.bronzetide.coordination.TimerService
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.LoadAggregator
import org.bronzetide.scheduling.fleet.LoadReport
import org.bronzetide.scheduling.fleet.QuotaLimiter

/**
 * This host's part among its peers: who is alive, what they have sent to targets, what they took
 * of quotas, and which manifest they hold. State lives on the control thread.
 *
 * Every host reports to one hub, which answers with the sum of all others; so the traffic of a
 * host does not grow with their number. The hub is the first of the live hosts in an order that
 * all compute alike. A host that hears nothing from the hub turns to the next in order; decisions
 * on requests never wait for it.
 */
internal class PeerCoordinator(
    private val settings: HostSettings,
    private val clock: MonotonicClock,
    private val timers: TimerService,
    private val scheduler: FleetScheduler,
    private val quotas: QuotaLimiter,
    private val log: DecisionLog,
    private val ports: Environment
) {
    /** What the fleet needs of the process around it. */
    class Environment(
        val send: (SocketAddress, PeerMessage) -> Unit,
        val manifestVersion: () -> Long,
        /** Told that the host at an IP address holds a newer manifest. */
        val onNewerManifest: (String) -> Unit
    )

    private val self = NodeId("${settings.nodeName}~${System.currentTimeMillis().toString(RADIX)}")
    private val membership = Membership(
        Member(
            self,
            settings.availabilityZone,
            settings.ip,
            settings.peerPorts.first,
            System.currentTimeMillis(),
            MemberState.ALIVE,
            settings.cpuCores
        ),
        clock,
        Random.Default
    )
    private val hub = LoadAggregator(SILENT_MS)
    private val silentUntilMs = HashMap<NodeId, Long>()
    private val seenAtMs = HashMap<String, Long>()
    private var currentHub: NodeId? = null
    private var exchangeCount = 0L
    private var hubHeardAtMs = clock.nowMs()
    private var isInformed = false
    private var informedAtMs = clock.nowMs()
    private var seeds = settings.seeds

    /** The hosts that are not known to be dead, this one included. */
    val hostCount: Int get() = membership.view().count { it.state != MemberState.DEAD }

    /** The host that this one reports to, or an empty text. */
    val aggregatorName: String get() = currentHub?.value.orEmpty()

    /** The members with their states, for display. */
    fun memberNames(): List<String> = membership.view().map { "${it.id.value} ${it.state}" }

    /** Whether what the other hosts do is known at present. */
    val arePeerLoadsCurrent: Boolean get() = isInformed

    /** Starts the periodic work; called on the control thread. */
    fun start() {
        timers.every(PROBE_MS) { probe() }
        scheduleExchange()
    }

    /** Takes the addresses of hosts to ask where no other is known. */
    fun updateSeeds(found: List<SocketAddress>) {
        seeds = found
    }

    /** Announces that this host stops as planned. */
    fun leave() {
        membership.leave()
        membership.tick().forEach { sendProbe(it.probe, it.to, isAck = false) }
    }

    /** Takes a message that came from the host at [senderIp]. */
    fun onMessage(message: PeerMessage, senderIp: String) = when (message) {
        is PeerMessage.Probe -> onProbe(message, senderIp)
        is PeerMessage.Report -> onReport(message)
        is PeerMessage.Summary -> onSummary(message)
    }

    /** The addresses of live peers, in random order. */
    fun peerIps(): List<String> = membership.view()
        .filter { it.id != self && it.state != MemberState.DEAD }.map { it.host }.shuffled()

    private fun probe() {
        val before = membership.version
        membership.tick().forEach { sendProbe(it.probe, it.to, isAck = false) }
        val known = membership.view().filter {
            it.state != MemberState.DEAD
        }.map { it.host }.toSet()
        seeds.map { it.host }.filter { it !in known }.forEach { seed ->
            val hello = Membership.Probe(membership.self, emptyList())
            ports.send(addressOf(seed), PeerMessage.Probe(hello, false, ports.manifestVersion()))
        }
        if (membership.version != before) logView()
    }

    private fun onProbe(message: PeerMessage.Probe, senderIp: String) {
        val before = membership.version
        if (message.isAck) {
            membership.onAck(message.probe)
        } else {
            val ack = membership.onProbe(message.probe)
            val reply = PeerMessage.Probe(ack, true, ports.manifestVersion())
            ports.send(addressOf(message.probe.sender.host), reply)
        }
        if (message.manifestVersion > ports.manifestVersion()) ports.onNewerManifest(senderIp)
        if (membership.version != before) logView()
    }

    private fun logView() {
        val members = membership.view()
        log.stateChange(
            "members",
            "version" to membership.version,
            "alive" to members.count { it.state == MemberState.ALIVE },
            "suspect" to members.filter { it.state == MemberState.SUSPECT }.map { it.id.value },
            "dead" to members.count { it.state == MemberState.DEAD }
        )
    }

    private fun sendProbe(probe: Membership.Probe, to: NodeId, isAck: Boolean) {
        val member = membership.find(to) ?: return
        ports.send(addressOf(member.host), PeerMessage.Probe(probe, isAck, ports.manifestVersion()))
    }

    private fun scheduleExchange() {
        timers.after(exchangePeriodMs()) {
            exchange()
            scheduleExchange()
        }
    }

    /** Grows with the fleet, so that the hub's work stays bounded. */
    private fun exchangePeriodMs(): Long =
        maxOf(EXCHANGE_MS, (hostCount * EXCHANGE_MS_PER_HOST).toLong())

    /** Speeds change slowly, so they are told only now and then. */
    private val isPaceTurn: Boolean get() = exchangeCount % PACE_PERIODS == 0L

    /**
     * The hosts that quotas are shared among: a host that is cut off takes all others for dead, and
     * they it, while both sides give out quotas.
     */
    private fun quotaHostCount(nowMs: Long): Int {
        membership.view().filter { it.state != MemberState.DEAD }
            .forEach { seenAtMs[it.host] = nowMs }
        seenAtMs.values.removeIf { nowMs - it > CUT_HOST_MEMORY_MS }
        return seenAtMs.size.coerceAtLeast(1)
    }

    private fun exchange() {
        val nowMs = clock.nowMs()
        exchangeCount++
        checkHub(nowMs)
        val target = chooseHub(nowMs)
        if (target != currentHub) {
            log.stateChange("hub chosen", "hub" to target?.value, "before" to currentHub?.value)
            currentHub = target
            hubHeardAtMs = nowMs
        }
        val report = LoadReport(
            self.value,
            scheduler.ownLoads(),
            quotas.ownTotals().toMap(),
            quotas.ownTotalsAtLastUpdate(),
            scheduler.suspects(nowMs),
            if (isPaceTurn) scheduler.ownSlowdowns() else emptyMap()
        )
        when {
            target == null -> Unit

            target == self -> {
                hub.onReport(report, nowMs)
                hubHeardAtMs = nowMs
                serveAsHub(nowMs)
            }

            else -> membership.find(target)?.let {
                ports.send(addressOf(it.host), encode(report))
            }
        }
    }

    /** Notes a hub that fell silent, and goes on without news of the peers if that lasts. */
    private fun checkHub(nowMs: Long) {
        val silenceMs = nowMs - hubHeardAtMs
        val limitMs = exchangePeriodMs() * SILENT_PERIODS
        val hubId = currentHub
        if (hubId != null && hubId != self && silenceMs > limitMs) {
            silentUntilMs[hubId] = nowMs + HUB_REST_MS
            hubHeardAtMs = nowMs
        }
        if (nowMs - informedAtMs > exchangePeriodMs() * NEWS_PERIODS) {
            quotas.rateShare = UNINFORMED_SHARE / quotaHostCount(nowMs)
        }
        if (isInformed && nowMs - informedAtMs > UNINFORMED_MS) {
            isInformed = false
            log.stateChange(
                "dependency lost",
                "dependency" to "peers",
                "ms" to nowMs - informedAtMs
            )
            scheduler.updatePeerLoads(emptyMap())
            scheduler.updatePeerSuspects(emptySet())
        }
    }

    private fun chooseHub(nowMs: Long): NodeId? {
        silentUntilMs.values.removeIf { it <= nowMs }
        val usable = membership.eligible().filter { it.id !in silentUntilMs }
        val large = usable.filter { it.cpuCores >= LARGE_CORES }.ifEmpty { usable }
        return RendezvousHash.pick("load-hub", large.map { it.id })
    }

    private fun serveAsHub(nowMs: Long) {
        hub.expire(nowMs)
        val paces = if (isPaceTurn) hub.averageSlowdowns() else emptyMap()
        hub.hosts().forEach { sendSummary(it, paces) }
    }

    private fun sendSummary(host: String, paces: Map<String, Double>) {
        val summary = hub.summaryFor(host)
        val message = PeerMessage.Summary(
            self.value,
            summary.loads.toMessages(),
            quotaMessages(summary.quotaTotals),
            summary.hostCount,
            summary.suspects.toList(),
            paces.map { PeerMessage.Slowdown(it.key, (it.value * PERCENT).toInt()) },
            hub.ageMs(clock.nowMs())
        )
        if (host == self.value) return onSummary(message)
        membership.find(NodeId(host))?.let { ports.send(addressOf(it.host), message) }
    }

    private fun onReport(message: PeerMessage.Report) {
        val report = LoadReport(
            message.host,
            message.loads.toLoads(),
            message.quotas.associate { it.account to it.units },
            message.quotas.associate { it.account to it.unitsAtLastUpdate },
            message.suspects.toSet(),
            message.slowdowns.associate {
                it.target to LoadReport.Slowdown(it.percent / PERCENT, it.samples)
            }
        )
        hub.onReport(report, clock.nowMs())
        // A host that others take for the hub serves them even if it would choose another.
        if (currentHub != self) sendSummary(message.host, emptyMap())
    }

    private fun onSummary(message: PeerMessage.Summary) {
        val nowMs = clock.nowMs()
        if (message.aggregator == currentHub?.value) hubHeardAtMs = nowMs
        informedAtMs = nowMs
        if (!isInformed) {
            isInformed = true
            log.stateChange(
                "dependency regained",
                "dependency" to "peers",
                "hub" to message.aggregator
            )
        }
        // Hosts that the hub has not heard of may give out their share by themselves.
        val sharing = quotaHostCount(nowMs).coerceAtLeast(message.hostCount)
        quotas.rateShare = message.hostCount.toDouble() / sharing
        val quotaTotals = message.quotas.associate { it.account to it.units }
        quotas.onPeerTotals(message.aggregator, quotaTotals, nowMs, message.aggregatorAgeMs)
        quotas.propagationDelayMs = exchangePeriodMs() * NEWS_PERIODS
        scheduler.updatePeerLoads(message.loads.toLoads())
        scheduler.updatePeerSuspects(message.suspects.toSet())
        scheduler.updateFleetSlowdowns(
            message.slowdowns.associate {
                it.target to it.percent / PERCENT
            }
        )
        scheduler.hostCount = hostCount
        scheduler.decide(nowMs)
    }

    private fun encode(report: LoadReport) = PeerMessage.Report(
        report.host,
        report.loads.toMessages(),
        report.quotaTotals.map { (account, units) ->
            PeerMessage.QuotaTotal(account, units, report.quotaTotalsAtLastUpdate[account] ?: 0)
        },
        report.suspects.toList(),
        report.slowdowns.map { (target, pace) ->
            PeerMessage.Slowdown(target, (pace.factor * PERCENT).toInt(), pace.samples)
        }
    )

    private fun Map<String, FleetScheduler.PeerLoad>.toMessages() =
        map { PeerMessage.Load(it.key, it.value.count, it.value.promptTokens) }

    private fun List<PeerMessage.Load>.toLoads() =
        associate { it.target to FleetScheduler.PeerLoad(it.count, it.promptTokens) }

    private fun quotaMessages(totals: Map<String, Long>) =
        totals.map { PeerMessage.QuotaTotal(it.key, it.value) }

    private fun addressOf(ip: String) = SocketAddress(ip, settings.peerPorts.first)

    private companion object {
        const val RADIX = 36
        const val PROBE_MS = 500L

        /** The age of what is known of peers; shorter than most requests run. */
        const val EXCHANGE_MS = 50L
        const val EXCHANGE_MS_PER_HOST = 2.5

        /** Over the cuts that hosts come back from. */
        const val CUT_HOST_MEMORY_MS = 30_000L

        /** Hosts that take this one for dead give its share out themselves. */
        const val UNINFORMED_SHARE = 0.5

        /** Some 1 KB each time on 50 targets; a second on a fleet of 80 hosts. */
        const val PACE_PERIODS = 5
        const val PERCENT = 100.0

        /** News wait for a report, and then for the summary; one of them may be lost. */
        const val NEWS_PERIODS = 3

        /** Periods without a summary after which the next host serves as the hub. */
        const val SILENT_PERIODS = 5
        const val HUB_REST_MS = 3_000L
        const val SILENT_MS = 1_000L

        /** The time without any summary after which loads of peers count as unknown. */
        const val UNINFORMED_MS = 1_000L
        const val LARGE_CORES = 0.7
    }
}
