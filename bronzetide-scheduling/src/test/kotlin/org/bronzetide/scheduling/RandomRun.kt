package org.bronzetide.scheduling

import kotlin.random.Random

/** Drives a scheduler with random arrivals, releases, withdrawals and changes of targets. */
internal class RandomRun(seed: Long, maxQueued: Int = 50) {
    private val random = Random(seed)
    private var nowMs = 0L
    private var nextSequence = 0L
    private val running = LinkedHashSet<TicketId>()
    private val waiting = LinkedHashSet<TicketId>()

    val scheduler = PoolScheduler(PoolPolicy(concurrencyPerTarget = 2, maxQueued = maxQueued))
    val enrolled = HashSet<TicketId>()
    val ends = HashMap<TicketId, Int>()
    val log = ArrayList<String>()
    var onRefused: (Decision.Refuse) -> Unit = {}
    var onGranted: (Decision.Grant) -> Unit = {}

    init {
        scheduler.updateTargets(specs(3))
    }

    fun steps(count: Int) = repeat(count) { step() }

    fun finishAll() {
        while (running.isNotEmpty() || waiting.isNotEmpty()) {
            nowMs += 100
            running.toList().forEach { finish(it) }
            decide()
        }
    }

    private fun step() {
        nowMs += random.nextLong(50)
        when (random.nextInt(10)) {
            in 0..4 -> enroll()
            in 5..7 -> if (running.isNotEmpty()) finish(running.random(random))
            8 -> if (waiting.isNotEmpty()) withdraw(waiting.random(random))
            else -> scheduler.updateTargets(specs(1 + random.nextInt(4)))
        }
        decide()
    }

    private fun enroll() {
        val ticket = ticket(
            nextSequence++,
            tier = 1 + random.nextInt(4),
            caller = "c${random.nextInt(4)}",
            promptTokens = 1 + random.nextInt(500),
            deadlineAtMs = nowMs + 500 + random.nextLong(20_000)
        )
        enrolled += ticket.id
        waiting += ticket.id
        record(scheduler.enroll(ticket, nowMs))
    }

    private fun finish(id: TicketId) {
        running -= id
        ends.merge(id, 1, Int::plus)
        val outcome = if (random.nextInt(10) == 0) {
            ReleaseOutcome.FAILED
        } else {
            ReleaseOutcome.FINISHED
        }
        scheduler.release(id, finished(1 + random.nextInt(100)).copy(outcome = outcome), nowMs)
    }

    private fun withdraw(id: TicketId) {
        check(scheduler.withdraw(id, nowMs))
        waiting -= id
        ends.merge(id, 1, Int::plus)
    }

    private fun decide() = record(scheduler.decide(nowMs))

    private fun record(decisions: List<Decision>) = decisions.forEach { decision ->
        log += decision.toString()
        waiting -= decision.ticket.id
        when (decision) {
            is Decision.Grant -> {
                running += decision.ticket.id
                onGranted(decision)
            }

            is Decision.Refuse -> {
                ends.merge(decision.ticket.id, 1, Int::plus)
                onRefused(decision)
            }
        }
    }
}
