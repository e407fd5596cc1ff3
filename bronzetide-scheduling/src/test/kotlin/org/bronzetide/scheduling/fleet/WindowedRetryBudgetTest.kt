package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

class WindowedRetryBudgetTest {
    @Example
    fun retriesOfAllHostsStayWithinTheSharedBudget() {
        val hosts = List(8) { WindowedRetryBudget(0.2, 56.0, 10_000) { 8 } }
        var retries = 0
        for (nowMs in 0L until 10_000L step 100) {
            hosts.forEach { host ->
                host.onRequest("model", nowMs)
                if (host.tryRetry("model", nowMs)) retries++
            }
        }
        assertThat(retries.toDouble()).isLessThanOrEqualTo(0.2 * 800 + 56)
        assertThat(retries).isGreaterThan(120)
    }

    @Example
    fun servicesHaveSeparateBudgets() {
        val budget = WindowedRetryBudget(0.0, 10.0, 10_000) { 1 }
        while (budget.tryRetry("model", 0)) Unit
        assertThat(budget.tryRetry("other", 0)).isTrue()
        assertThat(budget.tryRetry("model", 10_001)).isTrue()
    }
}
