package org.bronzetide.edge.telemetry

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.random.Random
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.telemetry.SizeMetrics.Outcome

class SizeMetricsTest {
    private val registry = SimpleMeterRegistry()
    private val metrics = SizeMetrics(registry)

    /** Guards against large requests that are refused far more often without any sign of it. */
    @Example
    fun largestTenthIsCountedByItself() {
        val random = Random(1)
        repeat(10_000) {
            val promptTokens = random.nextInt(100, 10_100)
            val outcome = if (promptTokens > 9_100) Outcome.REFUSED else Outcome.SERVED
            metrics.onRequestEnd("route", "account", promptTokens, outcome)
        }
        val large = count("size", "largest tenth")
        assertThat(large).isBetween(800.0, 1_200.0)
        val refusedLarge = registry.find("bronzetide.edge.requests.by.size")
            .tag("size", "largest tenth").tag("outcome", "refused").counter()!!.count()
        assertThat(refusedLarge / large).isGreaterThan(0.75)
    }

    @Example
    fun numberOfAccountsIsBounded() {
        repeat(1_000) { metrics.onRequestEnd("route", "account-$it", 100, Outcome.SERVED) }
        assertThat(registry.meters).hasSizeLessThan(60)
        assertThat(count("account", "other")).isEqualTo(950.0)
    }

    private fun count(tag: String, value: String): Double =
        registry.find("bronzetide.edge.requests.by.size").tag(tag, value).counters()
            .sumOf { it.count() }
}
