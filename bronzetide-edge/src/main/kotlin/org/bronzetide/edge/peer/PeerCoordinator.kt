package org.bronzetide.edge.peer

import kotlin.random.Random
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.Membership
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RendezvousHash
import org.bronzetide.coordination.TimerService
import org.bronzetide.edge.streams.StreamExchange
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.LoadAggregator
import org.bronzetide.scheduling.fleet.LoadReport
import org.bronzetide.scheduling.fleet.QuotaLimiter
import org.bronzetide.scheduling.fleet.TargetRef

/**
 * Exchanges state with the peers: membership, the requests sent to targets, the consumed quotas and
 * the manifest versions. Confined to the control thread.
 *
 * Every host reports to one aggregator, which replies with the sum of all others, so that a host's
 * traffic does not grow with the number of hosts. The aggregator is the first live host in an order
 * that all hosts compute alike. A host without responses from the aggregator uses the next in
 * order, its backup, which gets reports on quotas all the time; decisions on requests never wait
 * for either. A host that has just started is no aggregator until it has found its peers.
 */
internal class PeerCoordinator(
    private val settings: HostSettings,
    private val clock: MonotonicClock,
    private val timers: TimerService,
    private val scheduler: FleetScheduler,
    private val quotas: QuotaLimiter,
    private val log: DecisionLog,
    private val env: Environment,
    private val random: Random = Random.Default
) {
    /** The functions of the process that the coordinator uses. */
    class Environment(
        val send: (SocketAddress, PeerMessage) -> Unit,
        val manifestVersion: () -> Long,
        /** Called with the IP address of a host that holds a newer manifest. */
        val onNewerManifest: (String) -> Unit,
        /** Called with a target that has said to another host that it leaves. */
        val onPeerDeparture: (TargetRef) -> Unit,
        /** `null` if operators order no rollouts. */
        val rollouts: RolloutExchange? = null,
        /** `null` if streams are not taken up at other hosts. */
        val streams: StreamExchange? = null,
        /** Whether this host has lost its targets, so that it knows nothing of their health. */
        val isCutOff: () -> Boolean = { false },
        /** Called with the id of this host and the members whenever these have changed. */
        val onMembers: (NodeId, List<Member>) -> Unit = { _, _ -> }
    )

    private val self = NodeId.ofNewProcess(settings.nodeName, random)
    private val membership = Membership(
        Member(
            self,
            settings.availabilityZone,
            settings.ip,
            settings.peerPorts.first,
            incarnation = 0,
            state = MemberState.ALIVE,
            cpuCores = settings.cpuCores
        ),
        clock,
        random
    )
    private val aggregator = LoadAggregator(REPORT_TIMEOUT_MS)

    /** Where reports came from; membership learns of a host that has started only later. */
    private val reporterIps = HashMap<String, String>()
    private val crashEvidence = CrashEvidenceExchange(scheduler.poisonParts, log)
    private val statementExchange = StatementExchange(scheduler, random, env.onPeerDeparture)
    private var seeds = settings.seeds
    private val quotaExchange = QuotaExchange(
        self.value,
        quotas,
        aggregator,
        membership,
        clock,
        timers,
        log,
        if (hasOtherSeeds) ASSUMED_HOST_COUNT else 1,
        ::sendGrants
    )
    private val allotment = SlotAllotment(self)
    private val unresponsiveUntilMs = HashMap<NodeId, Long>()
    private var startedAtMs = clock.nowMs()
    private var currentAggregator: NodeId? = null
    private var backup: NodeId? = null
    private var exchangeCount = 0L

    /** When the current aggregator was chosen. */
    private var aggregatorSinceMs = clock.nowMs()

    /** When the current aggregator's last summary arrived, or when it was chosen. */
    private var aggregatorUpdateAtMs = clock.nowMs()
    private var hasCurrentLoads = false

    /** When the last summary of any aggregator arrived. */
    private var lastUpdateAtMs = clock.nowMs()

    private val hasOtherSeeds: Boolean get() = seeds.any { it.host != settings.ip }

    /** The number of hosts that are not known to be dead, this one included. */
    val hostCount: Int get() = membership.view().count { it.state != MemberState.DEAD }

    /** The id of the host that this one reports to, or an empty string. */
    val aggregatorName: String get() = currentAggregator?.value.orEmpty()

    /** The id of the host that takes over from the aggregator, or an empty string. */
    val backupName: String get() = backup?.value.orEmpty()

    /** This host among those that are known to be alive. */
    val liveHosts: LiveHosts
        get() = LiveHosts(
            self,
            membership.view().filter { it.state == MemberState.ALIVE }.map { it.id }
        )

    /** The other hosts that are not known to be dead. May be read by any thread. */
    @Volatile
    var peers: Set<NodeId> = emptySet()
        private set

    /** The members with their states, for display. */
    fun memberNames(): List<String> = membership.view().map { "${it.id.value} ${it.state}" }

    /** Whether the loads of the other hosts are known at present. */
    val arePeerLoadsCurrent: Boolean get() = hasCurrentLoads

    /** Starts the periodic work; must be called on the control thread. */
    fun start() {
        startedAtMs = clock.nowMs()
        allotment.update(emptyList(), startedAtMs)
        scheduler.brittleServices.slotAllotment = {
            val nowMs = clock.nowMs()
            allotment.slotsOf(it, if (isJoining(nowMs)) ASSUMED_HOST_COUNT else 1, nowMs)
        }
        quotaExchange.start()
        env.streams?.start()
        probe()
        timers.every(PROBE_INTERVAL_MS) { probe() }
        scheduleJoin()
        scheduleExchange()
    }

    /** Probes often after the start: all hosts may have just started, one after the other. */
    private fun scheduleJoin() {
        timers.after(JOIN_PROBE_INTERVAL_MS) {
            val nowMs = clock.nowMs()
            if (isJoining(nowMs) || nowMs - startedAtMs < JOIN_PROBES_MS) {
                probe()
                scheduleJoin()
            }
        }
    }

    /** Whether this host has started a moment ago and not found any of its peers yet. */
    private fun isJoining(nowMs: Long): Boolean =
        nowMs - startedAtMs < QuotaExchange.JOIN_TIMEOUT_MS &&
            hasOtherSeeds &&
            membership.view().none { it.id != self }

    /** Sets the addresses of hosts that are probed until they are known as members. */
    fun updateSeeds(found: List<SocketAddress>) {
        seeds = found
    }

    /** Announces that [target] leaves. */
    fun onDeparture(target: TargetRef) = statementExchange.onDeparture(target, clock.nowMs())

    /** Announces that this host shuts down as planned. */
    fun leave() {
        membership.leave()
        membership.tick().forEach { sendProbe(it.probe, it.to, isAck = false) }
    }

    /** Handles a message from the host at [senderIp]. */
    fun onMessage(message: PeerMessage, senderIp: String) = when (message) {
        is PeerMessage.Probe -> onProbe(message, senderIp)
        is PeerMessage.Report -> onReport(message, senderIp)
        is PeerMessage.Summary -> onSummary(message)
        is PeerMessage.Grants -> onGrants(message)
        is PeerMessage.StreamPush -> env.streams?.onPush(message) ?: Unit
        is PeerMessage.StreamQuery -> env.streams?.onQuery(message, senderIp) ?: Unit
        is PeerMessage.StreamReply -> env.streams?.onReply(message, senderIp) ?: Unit
        is PeerMessage.Fragment -> Unit
    }

    /** The IP addresses of the peers that are not known to be dead, in random order. */
    fun peerIps(): List<String> = membership.view()
        .filter { it.id != self && it.state != MemberState.DEAD }.map { it.host }.shuffled(random)

    private fun probe() {
        val before = membership.version
        membership.tick().forEach { sendProbe(it.probe, it.to, isAck = false) }
        val known = membership.view().filter { it.state != MemberState.DEAD }
            .map { it.host }.toSet()
        seeds.map { it.host }.filter { it !in known && it != settings.ip }.forEach { seed ->
            val probe = PeerMessage.Probe(membership.probeOfUnknown(), false, env.manifestVersion())
            env.send(addressOf(seed), probe)
        }
        if (membership.version != before) onMembersChanged()
    }

    private fun onProbe(message: PeerMessage.Probe, senderIp: String) {
        val before = membership.version
        if (message.isAck) {
            membership.onAck(message.probe)
        } else {
            val ack = membership.onProbe(message.probe)
            val reply = PeerMessage.Probe(ack, true, env.manifestVersion())
            env.send(addressOf(message.probe.sender.host), reply)
        }
        if (message.manifestVersion > env.manifestVersion()) env.onNewerManifest(senderIp)
        if (membership.version != before) onMembersChanged()
    }

    private fun onMembersChanged() {
        val members = membership.view()
        val hosts = members.filter { it.state != MemberState.DEAD }.map { it.id }
        allotment.update(hosts, clock.nowMs())
        env.streams?.updateMembers(members)
        env.onMembers(self, members)
        peers = members.filter { it.id != self && it.state != MemberState.DEAD }
            .mapTo(HashSet()) { it.id }
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
        env.send(addressOf(member.host), PeerMessage.Probe(probe, isAck, env.manifestVersion()))
    }

    private fun scheduleExchange() {
        timers.after(exchangeIntervalMs()) {
            exchange()
            scheduleExchange()
        }
    }

    /** Grows with the number of hosts, so that the aggregator's work stays bounded. */
    private fun exchangeIntervalMs(): Long =
        maxOf(MIN_EXCHANGE_INTERVAL_MS, (hostCount * EXCHANGE_INTERVAL_MS_PER_HOST).toLong())

    /** The averages of all targets are large, so only some of the summaries include them. */
    private val includesSlowdowns: Boolean get() = exchangeCount % SLOWDOWN_INTERVALS == 0L

    private fun exchange() {
        val nowMs = clock.nowMs()
        exchangeCount++
        checkAggregator(nowMs)
        val (chosen, standby) = chooseAggregators(nowMs)
        backup = standby
        if (chosen != currentAggregator) {
            log.stateChange(
                "aggregator chosen",
                "hub" to chosen?.value,
                "before" to currentAggregator?.value
            )
            currentAggregator = chosen
            aggregatorSinceMs = nowMs
            aggregatorUpdateAtMs = nowMs
        }
        val isCutOff = env.isCutOff()
        val slowdowns = scheduler.takeObservedSlowdowns()
        val report = LoadReport(
            self.value,
            scheduler.ownLoads(),
            quotas.takeReport(),
            quotas.ownTotalsAtLastUpdate(),
            if (isCutOff) emptySet() else scheduler.suspects(nowMs),
            if (isCutOff) emptyMap() else slowdowns,
            scheduler.ownDemands(nowMs),
            env.rollouts?.takeReports(nowMs).orEmpty()
        )
        reportToBackup(report, nowMs)
        when {
            chosen == null -> Unit

            chosen == self -> {
                aggregator.onReport(report, nowMs)
                val statements = statementExchange.report(self.value, exchangeIntervalMs(), nowMs)
                statementExchange.onReport(self.value, statements, nowMs)
                aggregatorUpdateAtMs = nowMs
                serveAsAggregator(nowMs)
            }

            else -> reportTo(chosen, report, nowMs)
        }
    }

    private fun reportTo(chosen: NodeId, report: LoadReport, nowMs: Long) {
        val member = membership.find(chosen) ?: return
        val intervalMs = exchangeIntervalMs()
        val message = report.toMessage(
            crashEvidence.takeDue(nowMs, intervalMs, minCrashes = 1),
            statementExchange.report(chosen.value, intervalMs, nowMs),
            needsQuotaLevels = quotaExchange.needsLevels
        )
        env.send(addressOf(member.host), message)
    }

    /** Sends quotas only: the backup's sums must be complete the moment the aggregator is lost. */
    private fun reportToBackup(report: LoadReport, nowMs: Long) {
        val quotaReport = LoadReport(
            report.host,
            emptyMap(),
            report.quotaTotals,
            report.quotaTotalsAtLastUpdate
        )
        when (val to = backup) {
            null -> Unit

            self -> {
                aggregator.onReport(quotaReport, nowMs)
                // Each report got the sums at that time as its reply.
                aggregator.onAnnounced()
            }

            else -> membership.find(to)?.let {
                val message = quotaReport.toMessage(
                    crashes = null,
                    isForBackup = true,
                    needsQuotaLevels = quotaExchange.needsLevels
                )
                env.send(addressOf(it.host), message)
            }
        }
    }

    /**
     * Excludes an unresponsive aggregator. While summaries are overdue, lowers the share of quotas
     * and then drops the loads of peers.
     */
    private fun checkAggregator(nowMs: Long) {
        val updateAgeMs = nowMs - aggregatorUpdateAtMs
        val limitMs = exchangeIntervalMs() * AGGREGATOR_TIMEOUT_INTERVALS
        val aggregatorId = currentAggregator
        if (aggregatorId != null && aggregatorId != self && updateAgeMs > limitMs) {
            unresponsiveUntilMs[aggregatorId] = nowMs + AGGREGATOR_EXCLUSION_MS
            aggregatorUpdateAtMs = nowMs
        }
        quotaExchange.checkAge(exchangeIntervalMs())
        if (hasCurrentLoads && nowMs - lastUpdateAtMs > LOADS_TIMEOUT_MS) {
            hasCurrentLoads = false
            log.stateChange(
                "dependency unavailable",
                "dependency" to "peers",
                "ms" to nowMs - lastUpdateAtMs
            )
            scheduler.updatePeerLoads(emptyMap(), areKnown = false)
            scheduler.updatePeerDemands(emptyMap())
            scheduler.updatePeerSuspects(emptySet())
        }
    }

    /** Returns the aggregator and its backup. */
    private fun chooseAggregators(nowMs: Long): Pair<NodeId?, NodeId?> {
        if (isJoining(nowMs)) return null to null
        unresponsiveUntilMs.values.removeIf { it <= nowMs }
        val usable = membership.eligible().filter { it.id !in unresponsiveUntilMs }
        val large = usable.filter { it.cpuCores >= LARGE_HOST_CORES }.ifEmpty { usable }
        val ranked = RendezvousHash.rank("load-hub", large.map { it.id })
        return ranked.getOrNull(0) to ranked.getOrNull(1)
    }

    private fun serveAsAggregator(nowMs: Long) {
        aggregator.expire(nowMs)
        reporterIps.keys.retainAll(aggregator.hosts())
        val slowdowns = if (includesSlowdowns) aggregator.averageSlowdowns() else emptyMap()
        // Summaries go to all hosts: most runs that a crash ended are sound and never recur.
        val crashes = crashEvidence.takeDue(nowMs, exchangeIntervalMs(), minCrashes = 2)
        issuePermits(nowMs)
        val rollouts = aggregator.rolloutsFor(self.value, nowMs)
        val includesRollouts = env.rollouts?.isSummaryDue(rollouts, nowMs) ?: false
        aggregator.hosts().forEach { sendSummary(it, slowdowns, crashes, includesRollouts) }
        aggregator.onAnnounced()
    }

    private fun issuePermits(nowMs: Long) = statementExchange.issuePermits(
        quotaExchange.hostCount(nowMs),
        exchangeIntervalMs(),
        nowMs
    )

    private fun sendSummary(
        host: String,
        slowdowns: Map<String, Double>,
        crashes: PeerMessage.Crashes?,
        includesRollouts: Boolean
    ) {
        val summary = aggregator.summaryFor(host)
        val nowMs = clock.nowMs()
        val rollouts = if (includesRollouts) aggregator.rolloutsFor(host, nowMs) else emptyList()
        val message = PeerMessage.Summary(
            self.value,
            summary.loads.toMessages(),
            summary.quotaTotals.toQuotaMessages(),
            summary.hostCount,
            summary.suspects.toList(),
            slowdowns.toSlowdownMessages(),
            aggregator.ageMs(nowMs),
            summary.demands.toDemandMessages(),
            crashes,
            statementExchange.summaryFor(host, nowMs),
            quotaExchange.levelsFor(host),
            rollouts.toRolloutMessages()
        )
        if (host == self.value) return onSummary(message)
        reporterIps[host]?.let { env.send(addressOf(it), message) }
    }

    private fun onReport(message: PeerMessage.Report, senderIp: String) {
        val report = message.toLoadReport()
        val nowMs = clock.nowMs()
        if (message.host !in aggregator.hosts()) crashEvidence.onHostAdded()
        reporterIps[message.host] = senderIp
        aggregator.onReport(report, nowMs)
        quotaExchange.onReport(message.host, message.needsQuotaLevels)
        quotaExchange.announceIfMany(exchangeIntervalMs())
        if (message.isForBackup) {
            return sendGrants(message.host, quotaExchange.totalsFor(message.host))
        }
        statementExchange.onReport(message.host, message.statements, nowMs)
        message.crashes?.let { crashEvidence.onReceived(it, isReport = true, nowMs) }
        // Hosts that have chosen this one are served even if it has chosen another aggregator.
        if (currentAggregator != self) {
            issuePermits(nowMs)
            val crashes = crashEvidence.takeDueFor(message.host, nowMs)
            sendSummary(message.host, emptyMap(), crashes, message.rollouts != null)
        }
    }

    private fun sendGrants(host: String, message: PeerMessage.Grants) {
        if (host == self.value) return onGrants(message)
        reporterIps[host]?.let { env.send(addressOf(it), message) }
    }

    private fun onGrants(message: PeerMessage.Grants) =
        quotaExchange.onGrants(message, isCurrent(message.aggregator), exchangeIntervalMs())

    private fun isCurrent(name: String): Boolean = name == currentAggregator?.value

    private fun onSummary(message: PeerMessage.Summary) {
        val nowMs = clock.nowMs()
        val isPrimary = isCurrent(message.aggregator)
        if (isPrimary) aggregatorUpdateAtMs = nowMs
        lastUpdateAtMs = nowMs
        message.crashes?.let { crashEvidence.onReceived(it, isReport = false, nowMs) }
        if (!hasCurrentLoads) {
            hasCurrentLoads = true
            log.stateChange(
                "dependency available again",
                "dependency" to "peers",
                "hub" to message.aggregator
            )
        }
        quotaExchange.onGrants(message.toGrants(), isPrimary, exchangeIntervalMs())
        // An aggregator that has just taken over has not heard from all hosts yet.
        val isComplete = nowMs - aggregatorSinceMs > exchangeIntervalMs() * TAKE_OVER_INTERVALS
        val loads = message.loads.toLoads()
        scheduler.updatePeerLoads(loads, nowMs, exchangeIntervalMs(), areKnown = isComplete)
        scheduler.updatePeerDemands(message.demands.toDemands())
        scheduler.updatePeerSuspects(message.suspects.toSet())
        scheduler.updateFleetSlowdowns(message.slowdowns.toFactors())
        scheduler.hostCount = hostCount
        env.rollouts?.onSummary(message.rollouts.toRolloutReports(), message.hostCount, nowMs)
        message.statements?.let {
            statementExchange.onSummary(message.aggregator, it, exchangeIntervalMs(), nowMs)
        }
        scheduler.decide(nowMs)
    }

    private fun addressOf(ip: String) = SocketAddress(ip, settings.peerPorts.first)

    private companion object {
        const val PROBE_INTERVAL_MS = 500L
        const val JOIN_PROBE_INTERVAL_MS = 50L

        /** How long a host that has found peers probes often, to hear of others that start. */
        const val JOIN_PROBES_MS = 1_000L

        /** Assumed until the other hosts are known; larger fleets are seldom down as a whole. */
        const val ASSUMED_HOST_COUNT = 16

        /** Bounds the age of peers' loads; shorter than most requests take. */
        const val MIN_EXCHANGE_INTERVAL_MS = 50L
        const val EXCHANGE_INTERVAL_MS_PER_HOST = 2.5

        /** Slowdowns of 50 targets take about 1 KB; with 80 hosts they are sent every 0.4 s. */
        const val SLOWDOWN_INTERVALS = 2

        /** Intervals without a summary after which the next host becomes the aggregator. */
        const val AGGREGATOR_TIMEOUT_INTERVALS = 5
        const val AGGREGATOR_EXCLUSION_MS = 3_000L

        /** Within as many intervals, all hosts have reported to a new aggregator. */
        const val TAKE_OVER_INTERVALS = 8
        const val REPORT_TIMEOUT_MS = 1_000L

        /** The time without any summary after which the loads of peers count as unknown. */
        const val LOADS_TIMEOUT_MS = 1_000L
        const val LARGE_HOST_CORES = 0.7
    }
}
