package org.bronzetide.edge.peer

import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.LoadReport
import org.bronzetide.scheduling.fleet.RequestLimit
import org.bronzetide.scheduling.fleet.SendDemand
import org.bronzetide.scheduling.fleet.TargetRef
import org.bronzetide.scheduling.fleet.TargetStart

/*
 * Converts between the messages of peers and the types of the scheduler. Slowdowns travel as
 * percentages, which take fewer bytes.
 */

private const val PERCENT = 100.0
private const val MILLI = 1_000.0

internal fun LoadReport.toMessage(
    crashes: PeerMessage.Crashes?,
    statements: PeerMessage.Statements? = null,
    isForBackup: Boolean = false,
    needsQuotaLevels: Boolean = false
): PeerMessage.Report = PeerMessage.Report(
    host,
    loads.toMessages(),
    quotaTotals.map { (account, units) ->
        PeerMessage.QuotaTotal(account, units, quotaTotalsAtLastUpdate[account] ?: 0)
    },
    suspects.toList(),
    slowdowns.map { (target, slowdown) ->
        PeerMessage.Slowdown(target, (slowdown.factor * PERCENT).toInt(), slowdown.samples)
    },
    demands.toDemandMessages(),
    crashes,
    isForBackup,
    statements,
    needsQuotaLevels,
    rollouts.toRolloutMessages()
)

internal fun PeerMessage.Report.toLoadReport(): LoadReport = LoadReport(
    host,
    loads.toLoads(),
    quotas.associate { it.account to it.units },
    quotas.associate { it.account to it.unitsAtLastUpdate },
    suspects.toSet(),
    slowdowns.associate { it.target to LoadReport.Slowdown(it.percent / PERCENT, it.samples) },
    demands.toDemands(),
    rollouts.toRolloutReports()
)

/** The quotas' part of a summary. */
internal fun PeerMessage.Summary.toGrants(): PeerMessage.Grants =
    PeerMessage.Grants(aggregator, quotas, hostCount, aggregatorAgeMs, quotaLevels)

internal fun Map<String, FleetScheduler.PeerLoad>.toMessages(): List<PeerMessage.Load> =
    map { PeerMessage.Load(it.key, it.value.count, it.value.promptTokens) }

internal fun List<PeerMessage.Load>.toLoads(): Map<String, FleetScheduler.PeerLoad> =
    associate { it.target to FleetScheduler.PeerLoad(it.count, it.promptTokens) }

internal fun Map<String, Map<Int, Int>>.toDemandMessages(): List<PeerMessage.Demand> =
    flatMap { (service, byRank) ->
        byRank.map { (rank, count) -> PeerMessage.Demand(service, rank, count) }
    }

internal fun List<PeerMessage.Demand>.toDemands(): Map<String, Map<Int, Int>> =
    groupBy { it.service }
        .mapValues { (_, demands) -> demands.associate { it.rank to it.count } }

internal fun Map<String, Long>.toQuotaMessages(): List<PeerMessage.QuotaTotal> =
    map { PeerMessage.QuotaTotal(it.key, it.value) }

internal fun Map<String, Double>.toLevelMessages(): List<PeerMessage.QuotaLevel> =
    map { PeerMessage.QuotaLevel(it.key, it.value.toLong()) }

internal fun List<PeerMessage.QuotaLevel>.toLevels(): Map<String, Double> =
    associate { it.account to it.units.toDouble() }

/** Converts slowdowns by target. */
internal fun Map<String, Double>.toSlowdownMessages(): List<PeerMessage.Slowdown> =
    map { PeerMessage.Slowdown(it.key, (it.value * PERCENT).toInt()) }

/** Returns the slowdowns by target. */
internal fun List<PeerMessage.Slowdown>.toFactors(): Map<String, Double> =
    associate { it.target to it.percent / PERCENT }

internal fun TargetRef.toMessage(): PeerMessage.Target = PeerMessage.Target(id, start.value)

internal fun PeerMessage.Target.toRef(): TargetRef = TargetRef(id, TargetStart(start))

internal fun RequestLimit.toMessage(target: TargetRef, nowMs: Long): PeerMessage.Limit =
    PeerMessage.Limit(
        target.toMessage(),
        perSecond?.let { (it * MILLI).toLong().coerceAtLeast(1) },
        nowMs - askedAtMs,
        nowMs - heardAtMs
    )

/**
 * Converts a limit in a message that was sent at [sentAtMs] or later, and has arrived at [nowMs].
 * If nothing is known of when it was sent, nothing is known of when the target was asked.
 */
internal fun PeerMessage.Limit.toRequestLimit(sentAtMs: Long?, nowMs: Long): RequestLimit =
    RequestLimit(
        perKiloSecond?.let { it / MILLI },
        sentAtMs?.let { it - askedAgoMs } ?: RequestLimit.ASKED_AT_UNKNOWN_MS,
        nowMs - heardAgoMs
    )

internal fun Map<String, SendDemand>.toSendDemandMessages(): List<PeerMessage.SendDemand> =
    map { (service, it) -> PeerMessage.SendDemand(service, it.waiting, it.expected) }

internal fun List<PeerMessage.SendDemand>.toSendDemands(): Map<String, SendDemand> =
    associate { it.service to SendDemand(it.waiting, it.expected) }
