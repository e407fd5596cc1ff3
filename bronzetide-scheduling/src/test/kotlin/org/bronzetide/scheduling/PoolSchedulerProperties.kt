package org.bronzetide.scheduling

import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.bronzetide.coordination.RefusalReason
import org.bronzetide.model.Tier

class PoolSchedulerProperties {
    @Property(tries = 300, seed = "31")
    fun `every ticket ends exactly once`(@ForAll seed: Long) {
        val run = RandomRun(seed)
        run.steps(400)
        run.finishAll()
        check(run.scheduler.queuedCount == 0 && run.scheduler.runningCount == 0)
        check(run.ends.values.all { it == 1 }) { "ended more than once: ${run.ends}" }
        check(run.ends.keys == run.enrolled)
    }

    @Property(tries = 300, seed = "32")
    fun `a ticket is shed only if no lower tier waits`(@ForAll seed: Long) {
        val run = RandomRun(seed, maxQueued = 10)
        run.onRefused = { refused ->
            val lower = (refused.ticket.tier.level + 1..Tier.LEAST_URGENT)
                .sumOf { run.scheduler.queuedCount(Tier(it)) }
            val isInversion = refused.reason == RefusalReason.SHED && lower > 0
            check(!isInversion) { "tier ${refused.ticket.tier} shed while $lower lower ones wait" }
        }
        run.steps(400)
    }

    @Property(tries = 200, seed = "33")
    fun `a grant goes to the most urgent tier that waits`(@ForAll seed: Long) {
        val run = RandomRun(seed)
        run.onGranted = { grant ->
            val above = (1 until grant.ticket.tier.level)
                .sumOf { run.scheduler.queuedCount(Tier(it)) }
            check(above == 0) { "tier ${grant.ticket.tier} served while $above above wait" }
        }
        run.steps(300)
    }

    @Property(tries = 100, seed = "34")
    fun `the same calls give the same decisions`(@ForAll seed: Long) {
        val first = RandomRun(seed).also { it.steps(200) }
        val second = RandomRun(seed).also { it.steps(200) }
        check(first.log == second.log)
    }

    @Property(tries = 100, seed = "35")
    fun `the requests in flight on all targets add up to the running tickets`(@ForAll seed: Long) {
        val run = RandomRun(seed)
        repeat(100) {
            run.steps(3)
            val views = run.scheduler.targetViews()
            check(views.sumOf { it.inFlight } == run.scheduler.runningCount)
        }
    }

    @Example
    fun `backlogged callers get tokens in proportion to their weights`() {
        val served = serveBacklog(weights = mapOf("one" to 1.0, "three" to 3.0), grants = 400)
        val ratio = served.getValue("three").toDouble() / served.getValue("one")
        check(ratio in 2.8..3.2) { "shares $served" }
    }

    @Property(tries = 30, seed = "36")
    fun `a heavier weight never gets less`(@ForAll seed: Long) {
        val weight = 1.0 + Random(seed).nextDouble() * 5
        val equal = serveBacklog(mapOf("a" to 1.0, "b" to 1.0), grants = 200)
        val heavier = serveBacklog(mapOf("a" to weight, "b" to 1.0), grants = 200)
        check(heavier.getValue("a") >= equal.getValue("a"))
    }

    @Example
    fun `a big caller's backlog does not delay a small one`() {
        val scheduler = PoolScheduler(PoolPolicy(concurrencyPerTarget = 1, features = fixedLimit))
        scheduler.updateTargets(specs(1))
        repeat(500) { scheduler.enroll(ticket(it.toLong(), caller = "big"), 0) }
        scheduler.decide(0)
        scheduler.enroll(ticket(1_000, caller = "small"), 1)
        var grants = 0
        while (true) {
            grants++
            val running = scheduler.ticketIds().first { scheduler.isRunning(it) }
            scheduler.release(running, finished(), 2)
            val grant = scheduler.decide(2).single()
            if (grant.ticket.caller.value == "small") break
        }
        check(grants <= 2) { "the small caller waited $grants grants" }
    }

    @Example
    fun `a leaving target gets no new work`() {
        val scheduler = PoolScheduler(PoolPolicy())
        scheduler.updateTargets(specs(2).map { it.copy(isLeaving = it.id.value == "t0") })
        repeat(5) { scheduler.enroll(ticket(it.toLong()), 0) }
        val targets = scheduler.decide(0).map { (it as Decision.Grant).target.value }
        check(targets.toSet() == setOf("t1"))
    }

    @Example
    fun `work that cannot meet its deadline is refused before its dispatch`() {
        val scheduler = PoolScheduler(PoolPolicy())
        scheduler.updateTargets(specs(1))
        repeat(5) {
            scheduler.enroll(ticket(it.toLong()), 0)
            scheduler.decide(0)
            scheduler.release(TicketId(testNode, it.toLong()), finished(durationMs = 1_000), 0)
        }
        val refusal = scheduler.enroll(ticket(9, deadlineAtMs = 200), 0).single()
        check((refusal as Decision.Refuse).reason == RefusalReason.DEADLINE)
    }

    @Example
    fun `a scheduler without samples refuses nothing for its deadline`() {
        val scheduler = PoolScheduler(PoolPolicy())
        scheduler.updateTargets(specs(1))
        val short = ticket(1, maxOutputTokens = 100_000, deadlineAtMs = 500)
        check(scheduler.enroll(short, 0).isEmpty())
        check(scheduler.decide(0).single() is Decision.Grant)
    }

    @Example
    fun `a failing target is ejected but never more than half of them`() {
        val scheduler = PoolScheduler(PoolPolicy())
        scheduler.updateTargets(specs(4))
        repeat(200) {
            scheduler.enroll(ticket(it.toLong()), it.toLong())
            scheduler.decide(it.toLong())
            val failed = Release(ReleaseOutcome.FAILED, 100, 0, 0, 10)
            scheduler.release(TicketId(testNode, it.toLong()), failed, it.toLong())
        }
        check(scheduler.targetViews().count { it.isEjected } == 2)
    }

    private fun serveBacklog(weights: Map<String, Double>, grants: Int): Map<String, Int> {
        val scheduler = PoolScheduler(
            PoolPolicy(concurrencyPerTarget = 1, maxQueued = 10_000, features = fixedLimit)
        )
        scheduler.updateTargets(specs(1))
        var sequence = 0L
        weights.forEach { (caller, weight) ->
            repeat(grants) {
                scheduler.enroll(ticket(sequence++, caller = caller, weight = weight), 0)
            }
        }
        val served = HashMap<String, Int>()
        repeat(grants) {
            val grant = scheduler.decide(0).single() as Decision.Grant
            served.merge(grant.ticket.caller.value, 1, Int::plus)
            scheduler.release(grant.ticket.id, finished(), 0)
        }
        return served
    }

    private val fixedLimit = Feature.all - Feature.ADAPTIVE_LIMIT

    private fun PoolScheduler.isRunning(id: TicketId) = runningIds().contains(id)
}
