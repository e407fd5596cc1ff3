package org.bronzetide.edge.peer

import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.Membership
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.TimerService
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.scheduling.fleet.LoadAggregator
import org.bronzetide.scheduling.fleet.PeerKnowledge
import org.bronzetide.scheduling.fleet.QuotaLimiter

/**
 * Keeps the host's knowledge of what the others grant of each quota.
 *
 * Totals come from the load aggregator and from its backup, so that the loss of one of them costs
 * no update. An aggregator that learns of many grants of an account at once announces them before
 * the next exchange: that is how a flood begins. While no totals arrive, and after the start until
 * most of the known hosts have reported, the host may spend only its share of each quota.
 *
 * Confined to the control thread.
 */
internal class QuotaExchange(
    private val self: String,
    private val quotas: QuotaLimiter,
    private val aggregator: LoadAggregator,
    private val membership: Membership,
    private val clock: MonotonicClock,
    private val timers: TimerService,
    private val log: DecisionLog,
    /** How many hosts may grant quotas until they are known. */
    assumedHostCount: Int,
    /** Sends totals of some accounts to the named host, or to this one. */
    private val send: (String, PeerMessage.Grants) -> Unit
) {
    private val lastSeenAtMs = HashMap<String, Long>()
    private var startedAtMs = clock.nowMs()
    private var lastUpdateAtMs = startedAtMs
    private var announcedAtMs = startedAtMs
    private var isAnnouncing = false

    /** The hosts that report here and do not know what is left of quotas. */
    private val hostsWithoutLevels = HashSet<String>()
    private var hasLevels = false

    /** Whether this host has started and does not know yet what is left of quotas. */
    val needsLevels: Boolean get() = !hasLevels && clock.nowMs() - startedAtMs < JOIN_TIMEOUT_MS

    /** Whether most of the known hosts have reported since the start, or there was time to. */
    private var isJoined = false

    init {
        quotas.startEmpty(startedAtMs)
        quotas.updateKnowledge(PeerKnowledge.Unknown(assumedHostCount), startedAtMs)
    }

    /** Begins the time to join. A process may wait for its address after its creation. */
    fun start() {
        startedAtMs = clock.nowMs()
        lastUpdateAtMs = startedAtMs
        announcedAtMs = startedAtMs
        quotas.startEmpty(startedAtMs)
    }

    /** Handles totals from the aggregator, which [isPrimary], or from its backup. */
    fun onGrants(message: PeerMessage.Grants, isPrimary: Boolean, intervalMs: Long) {
        val nowMs = clock.nowMs()
        lastUpdateAtMs = nowMs
        quotas.propagationDelayMs = intervalMs * UPDATE_INTERVALS
        quotas.totalsLateAfterMs = maxOf((intervalMs * LATE_INTERVALS).toLong(), MIN_LATE_MS)
        val totals = message.quotas.associate { it.account to it.units }
        quotas.onPeerTotals(message.aggregator, totals, nowMs, message.aggregatorAgeMs, isPrimary)
        // Hosts that do not report to the aggregator may grant their share by themselves.
        val reportingCount = message.hostCount
        val sharing = hostCount(nowMs).coerceAtLeast(reportingCount)
        val hasPeers = reportingCount > 1 && reportingCount * 2 >= sharing
        isJoined = isJoined || hasPeers || nowMs - startedAtMs >= JOIN_TIMEOUT_MS
        // Fewer hosts report to the backup while some of them have chosen another one.
        if (isJoined && (isPrimary || quotas.knowledge is PeerKnowledge.Unknown)) {
            change(PeerKnowledge.Current(reportingCount.toDouble() / sharing), nowMs)
        }
        message.quotaLevels?.takeIf { needsLevels }?.let {
            hasLevels = true
            quotas.adoptLevels(it.toLevels(), nowMs)
        }
    }

    /** Records that [host] reports here, and whether it [needsLevels]. */
    fun onReport(host: String, needsLevels: Boolean) {
        hostsWithoutLevels.retainAll(aggregator.hosts())
        if (needsLevels) hostsWithoutLevels += host else hostsWithoutLevels -= host
    }

    /** The levels of quotas for [host], or `null` if it needs none or they are not known. */
    fun levelsFor(host: String): List<PeerMessage.QuotaLevel>? {
        if (host !in hostsWithoutLevels) return null
        val unannounced = aggregator.unannounced()
        return quotas.levels(clock.nowMs())?.mapValues { (account, level) ->
            // This host deducts the latest grants only with its next totals.
            level - (unannounced[account] ?: 0)
        }?.toLevelMessages()
    }

    /** Lowers what may be spent if no totals have arrived for too long. */
    fun checkAge(intervalMs: Long) {
        val nowMs = clock.nowMs()
        val limitMs = maxOf(intervalMs * UNKNOWN_INTERVALS, MIN_UNKNOWN_MS)
        if (!isJoined || nowMs - lastUpdateAtMs <= limitMs) return
        change(PeerKnowledge.Unknown(hostCount(nowMs)), nowMs)
    }

    /** Announces grants to all hosts if those not announced yet are many. */
    fun announceIfMany(intervalMs: Long) {
        if (isAnnouncing) return
        val nowMs = clock.nowMs()
        val accounts = aggregator.unannounced().filter { (account, units) ->
            units >= (quotas.announcedUnits(account) ?: Double.MAX_VALUE)
        }.keys.toSet()
        if (accounts.isEmpty()) return
        val pauseMs = maxOf(MIN_ANNOUNCE_INTERVAL_MS, intervalMs / ANNOUNCEMENTS_PER_EXCHANGE)
        val remainingMs = announcedAtMs + pauseMs - nowMs
        if (remainingMs > 0) {
            isAnnouncing = true
            timers.after(remainingMs) {
                isAnnouncing = false
                announceIfMany(intervalMs)
            }
            return
        }
        announcedAtMs = nowMs
        aggregator.onAnnounced(accounts)
        aggregator.hosts().toList().forEach { send(it, totalsFor(it, accounts)) }
    }

    /** The totals of [accounts], or of all accounts, for [host]. */
    fun totalsFor(host: String, accounts: Set<String>? = null): PeerMessage.Grants {
        val totals = aggregator.quotaTotalsFor(host)
            .filterKeys { accounts == null || it in accounts }
        return PeerMessage.Grants(
            self,
            totals.toQuotaMessages(),
            aggregator.hosts().size,
            aggregator.ageMs(clock.nowMs()),
            if (accounts == null) levelsFor(host) else null
        )
    }

    private fun change(knowledge: PeerKnowledge, nowMs: Long) {
        val before = quotas.knowledge
        quotas.updateKnowledge(knowledge, nowMs)
        if (before::class == knowledge::class) return
        log.stateChange(
            "grants of peers",
            "known" to (knowledge is PeerKnowledge.Current),
            "rateShare" to knowledge.rateShare,
            "ageMs" to nowMs - lastUpdateAtMs
        )
    }

    /**
     * The number of hosts that share quotas and limits, including those seen recently: an isolated
     * host considers all others dead and is considered dead by them, while both sides grant quotas.
     */
    fun hostCount(nowMs: Long): Int {
        membership.view().filter { it.state != MemberState.DEAD }
            .forEach { lastSeenAtMs[it.host] = nowMs }
        lastSeenAtMs.values.removeIf { nowMs - it > SEEN_HOST_RETENTION_MS }
        return lastSeenAtMs.size.coerceAtLeast(1)
    }

    internal companion object {
        /** After this time a host without peers takes itself for the only one. */
        const val JOIN_TIMEOUT_MS = 3_000L

        /** Longer than the network partitions from which hosts return. */
        private const val SEEN_HOST_RETENTION_MS = 30_000L

        /** An update waits for a report and then for the summary; one of them may be lost. */
        private const val UPDATE_INTERVALS = 3

        /** Of two replies in each interval, all were lost. */
        private const val UNKNOWN_INTERVALS = 2

        /** Longer than the pauses of a process that is short of processor time. */
        private const val MIN_UNKNOWN_MS = 300L

        /** Intervals after the last totals from which on the next ones are late. */
        private const val LATE_INTERVALS = 1.25

        /** A timer or a datagram may be late by some ten milliseconds. */
        private const val MIN_LATE_MS = 100L

        // Bound the messages of an aggregator while an account floods.
        private const val MIN_ANNOUNCE_INTERVAL_MS = 50L
        private const val ANNOUNCEMENTS_PER_EXCHANGE = 4
    }
}
