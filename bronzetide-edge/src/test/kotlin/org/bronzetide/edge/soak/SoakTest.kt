package org.bronzetide.edge.soak

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/** Runs a short soak with a fixed seed in every build; seeds that failed are added here. */
class SoakTest {
    @Example
    fun guaranteesHoldUnderRandomFaults() = assertNoViolations(seed = 1)

    private fun assertNoViolations(seed: Long) {
        Soak(seed, nodeCount = 3, targetCount = 4).use { soak ->
            assertThat(soak.run(SECONDS))
                .describedAs("seed $seed, logs in ${soak.logDirectory}")
                .isEmpty()
            assertThat(soak.checker.servedCount.get()).isPositive()
        }
    }

    private companion object {
        const val SECONDS = 40
    }
}
