package org.bronzetide.edge.peer

import org.bronzetide.scheduling.fleet.RolloutCounts
import org.bronzetide.scheduling.fleet.RolloutDecision
import org.bronzetide.scheduling.fleet.RolloutOrder
import org.bronzetide.scheduling.fleet.RolloutReport
import org.bronzetide.scheduling.fleet.ServiceVersion
import org.bronzetide.scheduling.fleet.VersionCounts

/* Converts what hosts know of rollouts. Sums of logarithms travel as integers of 1/1000. */

private const val MILLI = 1_000.0
private const val COMPLETED = 1
private const val ROLLED_BACK = 2
private const val MAX_EVIDENCE_CHARS = 100

/** Converts the reports; returns `null`, which takes no bytes, if there are none. */
internal fun List<RolloutReport>.toRolloutMessages(): List<PeerMessage.Rollout>? =
    map { it.toMessage() }.ifEmpty { null }

internal fun List<PeerMessage.Rollout>?.toRolloutReports(): List<RolloutReport> =
    orEmpty().map { it.toReport() }

private fun RolloutReport.toMessage() = PeerMessage.Rollout(
    order.service,
    order.to.name,
    order.durationMs,
    elapsedMs,
    when (decision) {
        RolloutDecision.Undecided -> 0
        RolloutDecision.Completed -> COMPLETED
        is RolloutDecision.RolledBack -> ROLLED_BACK
    },
    isRecorded,
    (decision as? RolloutDecision.RolledBack)?.evidence.orEmpty().take(MAX_EVIDENCE_CHARS),
    counts.oldByRoute.toMessages(isNew = false) + counts.newByRoute.toMessages(isNew = true),
    counts.failuresByTarget.map { PeerMessage.TargetFailures(it.key, it.value) }
)

private fun PeerMessage.Rollout.toReport(): RolloutReport {
    val (new, old) = routes.partition { it.isNew }
    return RolloutReport(
        RolloutOrder(service, ServiceVersion(to), durationMs),
        elapsedMs,
        RolloutCounts(
            new.toCounts(),
            old.toCounts(),
            failures.associate { it.target to it.count }
        ),
        when (decision) {
            COMPLETED -> RolloutDecision.Completed
            ROLLED_BACK -> RolloutDecision.RolledBack(evidence)
            else -> RolloutDecision.Undecided
        },
        isRecorded
    )
}

private fun Map<String, VersionCounts>.toMessages(isNew: Boolean) =
    filterValues { it.ended > 0 }.map { (route, counts) ->
        PeerMessage.RouteResponses(
            route,
            isNew,
            counts.ended,
            counts.failures,
            counts.answered,
            (counts.lnSum * MILLI).toLong(),
            (counts.lnSquareSum * MILLI).toLong()
        )
    }

private fun List<PeerMessage.RouteResponses>.toCounts(): Map<String, VersionCounts> = associate {
    it.route to VersionCounts(
        it.ended,
        it.failures,
        it.answered,
        it.lnMilliSum / MILLI,
        it.lnSquareMilliSum / MILLI
    )
}
