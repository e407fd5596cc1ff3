package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/** The load patterns: targets that go dark, fail by shares, restart, and go up and down. */
class TargetHealthTest {
    private val health = TargetHealth()

    @Example
    fun silentTargetGetsARestAfterTwoFailures() {
        assertThat(health.onOutcome(FleetOutcome.FAILED)).isFalse()
        assertThat(health.onOutcome(FleetOutcome.FAILED)).isTrue()
    }

    @Example
    fun targetThatIsGoneGetsARestAtOnce() {
        assertThat(health.onOutcome(FleetOutcome.GONE)).isTrue()
    }

    @Example
    fun targetThatFailsFourInTenGetsARestAlthoughOthersSucceedBetween() {
        val outcomes = (1..30).map {
            if (it % 5 in setOf(1, 3)) FleetOutcome.FAILED else FleetOutcome.ANSWERED
        }
        assertThat(outcomes.count { health.onOutcome(it) }).isPositive()
    }

    @Example
    fun usualShareOfErrorsEjectsNoTarget() {
        val outcomes = (1..100).map {
            if (it % 7 == 0) FleetOutcome.ERROR else FleetOutcome.ANSWERED
        }
        assertThat(outcomes.count { health.onOutcome(it) }).isZero()
    }

    @Example
    fun restsOfAFlappingTargetGrowUntilItIsSoundForAWhile() {
        fun restMs(): Long {
            health.eject(0)
            return health.ejectedUntilMs
        }
        val first = restMs()
        health.onOutcome(FleetOutcome.ANSWERED)
        assertThat(restMs()).isEqualTo(2 * first)
        repeat(10) { health.onOutcome(FleetOutcome.ANSWERED) }
        assertThat(restMs()).isEqualTo(first)
    }
}
