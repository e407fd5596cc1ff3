package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/** Targets that stop responding, fail often, restart or flap must be ejected, others not. */
class TargetHealthTest {
    private val health = TargetHealth()

    @Example
    fun unresponsiveTargetIsEjectedAfterTwoFailures() {
        assertThat(health.onOutcome(FleetOutcome.FAILED)).isFalse()
        assertThat(health.onOutcome(FleetOutcome.FAILED)).isTrue()
    }

    @Example
    fun targetThatIsGoneIsEjectedAtOnce() {
        assertThat(health.onOutcome(FleetOutcome.GONE)).isTrue()
    }

    @Example
    fun targetWithFourFailuresInTenIsEjectedDespiteSuccessesBetween() {
        val outcomes = (1..30).map {
            if (it % 5 in setOf(1, 3)) FleetOutcome.FAILED else FleetOutcome.ANSWERED
        }
        assertThat(outcomes.count { health.onOutcome(it) }).isPositive()
    }

    @Example
    fun usualErrorRateEjectsNoTarget() {
        val outcomes = (1..100).map {
            if (it % 7 == 0) FleetOutcome.ERROR else FleetOutcome.ANSWERED
        }
        assertThat(outcomes.count { health.onOutcome(it) }).isZero()
    }

    @Example
    fun ejectionsOfAFlappingTargetGrowUntilARunOfSuccesses() {
        fun ejectionMs(): Long {
            health.eject(0)
            return health.ejectedUntilMs
        }
        val first = ejectionMs()
        health.onOutcome(FleetOutcome.ANSWERED)
        assertThat(ejectionMs()).isEqualTo(2 * first)
        repeat(10) { health.onOutcome(FleetOutcome.ANSWERED) }
        assertThat(ejectionMs()).isEqualTo(first)
    }
}
