package org.bronzetide.coordination

import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property

/**
 * A key must not be dispatched twice when nodes pause, messages are lost or reordered, and slots
 * change owner. The examples disable one safeguard each and show that the simulation then finds a
 * double dispatch, so that the properties cannot pass vacuously.
 */
class KeyAuthorityProperties {
    @Property(tries = 2_000, seed = "20261204")
    fun `a key is dispatched at most once despite pauses, losses and changes of owner`(
        @ForAll seed: Long
    ) {
        val cluster = KeyAuthoritySimulation(Random(seed))
        cluster.run(STEPS)
        check(cluster.dispatches.values.all { it == 1 }) {
            "dispatched twice: ${cluster.dispatches}"
        }
    }

    @Property(tries = 500, seed = "20261205")
    fun `an attempt that was reported as not run is never dispatched`(@ForAll seed: Long) {
        val cluster = KeyAuthoritySimulation(Random(seed))
        cluster.run(STEPS)
        val both = cluster.refusedAttempts intersect cluster.dispatchedAttempts
        check(both.isEmpty()) { "refused and dispatched: $both" }
    }

    @Example
    fun `a double dispatch is found when rejections by the successor are ignored`() =
        expectDoubleDispatch(KeyAuthoritySimulation.Mutation.IGNORES_REJECTED_RECORD)

    @Example
    fun `a double dispatch is found when a new successor gets no claim history`() =
        expectDoubleDispatch(KeyAuthoritySimulation.Mutation.SENDS_EMPTY_TRANSFER)

    @Example
    fun `a double dispatch is found when a late grant is used`() =
        expectDoubleDispatch(KeyAuthoritySimulation.Mutation.USES_LATE_GRANT)

    @Example
    fun `a double dispatch is found when an owner without history does not close its slot`() =
        expectDoubleDispatch(KeyAuthoritySimulation.Mutation.NO_CLOSED_SLOT)

    private fun expectDoubleDispatch(mutation: KeyAuthoritySimulation.Mutation) {
        val isFound = (0L until MUTANT_SEEDS).any { seed ->
            val cluster = KeyAuthoritySimulation(Random(seed), setOf(mutation))
            cluster.run(MUTANT_STEPS)
            cluster.dispatches.values.any { it > 1 }
        }
        check(isFound) { "no seed led to a double dispatch with $mutation" }
    }

    private companion object {
        const val STEPS = 1_000
        const val MUTANT_STEPS = 1_500
        const val MUTANT_SEEDS = 2_000L
    }
}
