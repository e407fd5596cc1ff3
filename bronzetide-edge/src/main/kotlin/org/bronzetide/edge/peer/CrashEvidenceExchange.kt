package org.bronzetide.edge.peer

import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.scheduling.fleet.CrashEvidence
import org.bronzetide.scheduling.fleet.CrashedRun
import org.bronzetide.scheduling.fleet.PoisonPartDetector
import org.bronzetide.scheduling.fleet.PromptPart

/**
 * Decides when the evidence on parts of prompts that crash targets is sent to other hosts, and
 * converts it to messages with ages in place of times.
 *
 * New evidence is sent at once and repeated, as messages may be lost. All evidence is sent again
 * every [REFRESH_INTERVAL_MS] milliseconds, for hosts that were away. Confined to the control
 * thread.
 */
internal class CrashEvidenceExchange(
    private val detector: PoisonPartDetector,
    private val log: DecisionLog
) {
    private var sentRevision = 0L
    private var repeatsLeft = 0
    private var sentAtMs = 0L
    private val sentToStraysAtMs = HashMap<String, Long>()
    private var loggedParts: Set<PromptPart> = emptySet()

    /**
     * Returns the evidence to send at [nowMs], or `null` if there is none or none is due. Hosts
     * exchange messages every [intervalMs] milliseconds. Only parts that [minCrashes] crashes speak
     * against are included.
     */
    fun takeDue(nowMs: Long, intervalMs: Long, minCrashes: Int): PeerMessage.Crashes? {
        detector.settlingMs = intervalMs * SETTLING_INTERVALS + SETTLING_MARGIN_MS
        detector.update(nowMs)
        logChanges(nowMs)
        if (detector.revision != sentRevision) {
            sentRevision = detector.revision
            repeatsLeft = REPEATS
        }
        val isRefreshDue = nowMs - sentAtMs >= REFRESH_INTERVAL_MS
        if (repeatsLeft == 0 && !isRefreshDue) return null
        if (repeatsLeft > 0) repeatsLeft--
        sentAtMs = nowMs
        return message(minCrashes, nowMs)
    }

    /**
     * Returns the evidence for [host], which reports here although another host aggregates, or
     * `null` if there is none or it was sent a moment ago.
     */
    fun takeDueFor(host: String, nowMs: Long): PeerMessage.Crashes? {
        val lastSentAtMs = sentToStraysAtMs[host]
        if (lastSentAtMs != null && nowMs - lastSentAtMs < REFRESH_INTERVAL_MS) return null
        sentToStraysAtMs.values.removeIf { nowMs - it >= REFRESH_INTERVAL_MS }
        sentToStraysAtMs[host] = nowMs
        return message(minCrashes = 2, nowMs)
    }

    /** Lets a host that has started or come back learn the evidence with the next messages. */
    fun onHostAdded() {
        repeatsLeft = REPEATS
    }

    /** Adds the evidence of another host. If [isReport], what is new must be sent to the others. */
    fun onReceived(message: PeerMessage.Crashes, isReport: Boolean, nowMs: Long) {
        val isNew = detector.merge(message.toEvidence(nowMs), nowMs)
        if (isNew && isReport) repeatsLeft = REPEATS
        logChanges(nowMs)
    }

    private fun message(minCrashes: Int, nowMs: Long): PeerMessage.Crashes? =
        detector.evidence(minCrashes).takeIf { it.runs.isNotEmpty() }?.toMessage(nowMs)

    private fun logChanges(nowMs: Long) {
        val blocked = detector.blocked
        if (blocked.keys == loggedParts) return
        (blocked.keys - loggedParts).forEach { part ->
            val runs = detector.evidence().runs.filter { part in it.parts }
            log.stateChange(
                "prompt part blocked",
                "part" to part.id,
                "forMs" to blocked.getValue(part) - nowMs,
                "crashes" to runs.map { "${it.target} ${nowMs - it.endedAtMs} ms ago" }
            )
        }
        (loggedParts - blocked.keys).forEach {
            log.stateChange("prompt part unblocked", "part" to it.id)
        }
        loggedParts = blocked.keys
    }

    private fun CrashEvidence.toMessage(nowMs: Long) = PeerMessage.Crashes(
        runs.map { run ->
            PeerMessage.CrashedRun(
                run.id,
                run.target,
                run.parts.map { it.id },
                nowMs - run.startedAtMs,
                nowMs - run.endedAtMs
            )
        },
        servedAtMs.map { PeerMessage.ServedPart(it.key.id, nowMs - it.value) }
    )

    private fun PeerMessage.Crashes.toEvidence(nowMs: Long) = CrashEvidence(
        runs.map { run ->
            CrashedRun(
                run.id,
                run.target,
                run.parts.map(::PromptPart),
                nowMs - run.startedAgoMs,
                nowMs - run.endedAgoMs
            )
        },
        served.associate { PromptPart(it.part) to nowMs - it.agoMs }
    )

    private companion object {
        const val REFRESH_INTERVAL_MS = 500L

        /** A report and a summary of a crash, and the same of what hosts know of its parts. */
        const val SETTLING_INTERVALS = 4

        /** For hosts that notice a crash late, and for lost messages. */
        const val SETTLING_MARGIN_MS = 150L

        /** With 3% of lost messages, one in a million misses all of them. */
        const val REPEATS = 4
    }
}
