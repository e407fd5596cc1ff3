package org.bronzetide.scheduling

import net.jqwik.api.Example

class SamplesTest {
    @Example
    fun samplesRun() = poolSchedulerSample()
}

internal fun poolSchedulerSample() {
    val scheduler = PoolScheduler(PoolPolicy(concurrencyPerTarget = 4))
    scheduler.updateTargets(specs(2))
    val refused = scheduler.enroll(ticket(sequence = 1), nowMs = 0)
    check(refused.isEmpty())
    val grant = scheduler.decide(nowMs = 0).single() as Decision.Grant
    scheduler.release(grant.ticket.id, finished(outputTokens = 40), nowMs = 800)
}
