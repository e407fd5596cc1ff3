package org.bronzetide.scheduling

import org.bronzetide.coordination.NodeId
import org.bronzetide.model.CallerId
import org.bronzetide.model.CallerLimits
import org.bronzetide.model.TargetId
import org.bronzetide.model.Tier

internal val testNode = NodeId("entry")

internal fun ticket(
    sequence: Long,
    tier: Int = 2,
    caller: String = "caller",
    promptTokens: Int = 100,
    maxOutputTokens: Int = 100,
    deadlineAtMs: Long = 1_000_000,
    weight: Double = 1.0,
    limits: CallerLimits = CallerLimits()
) = Ticket(
    id = TicketId(testNode, sequence),
    tier = Tier(tier),
    caller = CallerId(caller),
    operation = "short",
    promptTokens = promptTokens,
    maxOutputTokens = maxOutputTokens,
    deadlineAtMs = deadlineAtMs,
    weight = weight,
    limits = limits
)

internal fun specs(count: Int) = List(count) { TargetSpec(TargetId("t$it")) }

internal fun finished(outputTokens: Int = 50, durationMs: Long = 500) =
    Release(ReleaseOutcome.FINISHED, 100, outputTokens, firstTokenMs = 20, durationMs)
