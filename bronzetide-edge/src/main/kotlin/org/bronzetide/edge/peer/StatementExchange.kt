package org.bronzetide.edge.peer

import kotlin.random.Random
import org.bronzetide.scheduling.fleet.BrittleStatement
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.PermitIssuer
import org.bronzetide.scheduling.fleet.TargetRef

/**
 * Exchanges what targets have said of themselves, so that what one host hears holds on all of them,
 * and hands out the permits to send to targets with a limit while this host is the aggregator.
 *
 * A host reports the limits and the departures that it knows; the summary tells it those that it
 * has not reported or knows otherwise.
 *
 * Messages may be late. The receiver does not know when one was sent, but it was after the message
 * to which it replies: by that, no limit ends by an outdated statement, and a permit expires a
 * fixed time after the host has asked for it.
 *
 * Confined to the control thread.
 */
internal class StatementExchange(
    private val scheduler: FleetScheduler,
    private val random: Random,
    /** Called with a target that has said to another host that it leaves. */
    private val onPeerDeparture: (TargetRef) -> Unit
) {
    private val issuer = PermitIssuer(random)

    /** Hosts that report here, and aggregators; this host itself may be both. */
    private val reporters = HashMap<String, Peer>()
    private val aggregators = HashMap<String, Peer>()

    /** When this host learned of each recent departure. */
    private val departedAtMs = HashMap<TargetRef, Long>()

    /** Records that [target] has said that it leaves. */
    fun onDeparture(target: TargetRef, nowMs: Long) {
        departedAtMs.putIfAbsent(target, nowMs)
    }

    /** Returns the statements for the report to [aggregator], or `null` if there are none. */
    fun report(aggregator: String, intervalMs: Long, nowMs: Long): PeerMessage.Statements? {
        val limits = scheduler.limits.stated().filterValues {
            it.perSecond != null || nowMs - it.heardAtMs < END_ANNOUNCEMENT_MS
        }
        val departures = announcedDepartures(nowMs)
        val brittle = brittleServices(nowMs)
        if (limits.isEmpty() && departures.isEmpty() && brittle.isEmpty()) return null
        return PeerMessage.Statements(
            nowMs,
            aggregators[aggregator]?.sentAtMs,
            limits.entries.shuffled(random).take(MAX_LIMITS)
                .map { (target, limit) -> limit.toMessage(target, nowMs) },
            scheduler.limits.limitedTargets().map { it.service }.distinct().associateWith {
                scheduler.sendDemand(it, permitLifetimeMs(intervalMs), nowMs)
            }.toSendDemandMessages(),
            departures = departures.shuffled(random).take(MAX_DEPARTURES).map { it.toMessage() },
            brittle = brittle
        )
    }

    /** Handles the statements in the report of [host], as its aggregator. */
    fun onReport(host: String, statements: PeerMessage.Statements?, nowMs: Long) {
        val peer = reporters.getOrPut(host) { Peer() }
        peer.lastMessageAtMs = nowMs
        peer.limits =
            statements?.limits.orEmpty().associate { it.target.toRef() to it.perKiloSecond }
        peer.departures = statements?.departures.orEmpty().mapTo(HashSet()) { it.toRef() }
        issuer.onReport(host, statements?.sendDemands.orEmpty().toSendDemands(), nowMs)
        peer.sentAtMs = null
        statements?.let { learn(peer, it, nowMs) }
    }

    /** Makes permits available to the hosts that report here, of [hostCount] in total. */
    fun issuePermits(hostCount: Int, intervalMs: Long, nowMs: Long) {
        reporters.values.removeIf { nowMs - it.lastMessageAtMs > PEER_RETENTION_MS }
        val reporting = issuer.retainReported(nowMs - reportAgeLimitMs(intervalMs))
        val share = (reporting.toDouble() / hostCount.coerceAtLeast(1)).coerceAtMost(1.0)
        issuer.issue(scheduler.limits.limitedTargets(), share, intervalMs, nowMs)
    }

    /** Returns the statements for the summary to [host], or `null` if there are none. */
    fun summaryFor(host: String, nowMs: Long): PeerMessage.Statements? {
        val peer = reporters[host] ?: return null
        val news = scheduler.limits.stated()
            .map { (target, limit) -> limit.toMessage(target, nowMs) }
            .filter { it.perKiloSecond != peer.limits[it.target.toRef()] }
        val permits = issuer.takePermits(host)
            .map { (target, count) -> PeerMessage.Permits(target.toMessage(), count) }
        val departures = announcedDepartures(nowMs) - peer.departures
        val brittle = brittleServices(nowMs)
        val isEmpty = news.isEmpty() && departures.isEmpty() && brittle.isEmpty()
        if (isEmpty && peer.sentAtMs == null) return null
        return PeerMessage.Statements(
            nowMs,
            peer.sentAtMs,
            news.shuffled(random).take(MAX_LIMITS),
            permits = permits,
            departures = departures.shuffled(random).take(MAX_DEPARTURES).map { it.toMessage() },
            brittle = brittle
        )
    }

    /** Handles the statements in a summary of [aggregator]. */
    fun onSummary(
        aggregator: String,
        statements: PeerMessage.Statements,
        intervalMs: Long,
        nowMs: Long
    ) {
        aggregators.values.removeIf { nowMs - it.lastMessageAtMs > PEER_RETENTION_MS }
        val peer = aggregators.getOrPut(aggregator) { Peer() }
        val isRepeated = statements.sentAtMs <= (peer.sentAtMs ?: Long.MIN_VALUE)
        learn(peer, statements, nowMs)
        val askedAtMs = statements.repliesToSentAtMs
        if (askedAtMs == null || isRepeated) return
        statements.permits.forEach {
            val expiresAtMs = askedAtMs + permitLifetimeMs(intervalMs)
            scheduler.limits.addPermits(it.target.toRef(), it.count, expiresAtMs)
        }
    }

    /** Recent departures. Older ones are remembered, as other hosts may still announce them. */
    private fun announcedDepartures(nowMs: Long): Set<TargetRef> {
        departedAtMs.values.removeIf { nowMs - it > DEPARTURE_RETENTION_MS }
        return departedAtMs.filterValues { nowMs - it < DEPARTURE_ANNOUNCEMENT_MS }.keys
    }

    /** Ages, which never decrease on the way, keep hosts from renewing each other's statements. */
    private fun brittleServices(nowMs: Long): List<PeerMessage.Brittle> =
        scheduler.brittleServices.current(nowMs).entries.shuffled(random).take(MAX_BRITTLE)
            .map { (service, statement) ->
                PeerMessage.Brittle(
                    service,
                    (statement.refusalsPerS * PER_KILO).toLong(),
                    nowMs - statement.statedAtMs
                )
            }

    private fun learn(peer: Peer, statements: PeerMessage.Statements, nowMs: Long) {
        peer.lastMessageAtMs = nowMs
        peer.sentAtMs = statements.sentAtMs
        statements.limits.forEach {
            val limit = it.toRequestLimit(statements.repliesToSentAtMs, nowMs)
            scheduler.limits.onStated(it.target.toRef(), limit)
        }
        statements.brittle.forEach {
            val statedAtMs = nowMs - it.statedAgoMs.coerceAtLeast(0)
            val refusalsPerS = it.refusalsPerKiloSecond / PER_KILO
            val statement = BrittleStatement(refusalsPerS, statedAtMs)
            scheduler.brittleServices.onStated(it.service, statement)
        }
        statements.departures.map { it.toRef() }.filter { it !in departedAtMs }.forEach {
            departedAtMs[it] = nowMs
            onPeerDeparture(it)
        }
    }

    private class Peer {
        /** When its latest message was sent, on its clock; `null` if it had no statements. */
        var sentAtMs: Long? = null
        var lastMessageAtMs = 0L

        /** The limits that it has reported, in thousandths of a request a second. */
        var limits: Map<TargetRef, Long?> = emptyMap()

        /** The departures that it has reported. */
        var departures: Set<TargetRef> = emptySet()
    }

    private companion object {
        /** Some 4 KB; the others follow in later messages. */
        const val MAX_LIMITS = 100

        /** How long the end of a limit is reported, some of which may be lost. */
        const val END_ANNOUNCEMENT_MS = 3_000L

        /** Longer than the store takes to show a target that leaves, or to be back. */
        const val DEPARTURE_ANNOUNCEMENT_MS = 30_000L
        const val DEPARTURE_RETENTION_MS = 4 * DEPARTURE_ANNOUNCEMENT_MS
        const val MAX_DEPARTURES = 50

        /** Some 400 bytes; the others follow in later messages. */
        const val MAX_BRITTLE = 10
        const val PER_KILO = 1_000.0
        const val PEER_RETENTION_MS = 60_000L

        /** A report waits for the summary, and requests for a target to be chosen. */
        fun permitLifetimeMs(intervalMs: Long): Long = 2 * intervalMs + 500

        /** One of two reports may be lost. */
        fun reportAgeLimitMs(intervalMs: Long): Long = maxOf(intervalMs * 5 / 2, 200)
    }
}
