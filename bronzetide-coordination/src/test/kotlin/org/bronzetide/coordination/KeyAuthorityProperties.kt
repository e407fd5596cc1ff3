package org.bronzetide.coordination

import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property

class KeyAuthorityProperties {
    @Property(tries = 2_000, seed = "20261204")
    fun `a key is dispatched at most once through pauses, losses and changes of owner`(
        @ForAll seed: Long
    ) {
        val world = KeyAuthoritySimulation(Random(seed))
        world.run(STEPS)
        check(world.dispatches.values.all { it == 1 }) { "dispatched twice: ${world.dispatches}" }
    }

    @Property(tries = 500, seed = "20261205")
    fun `an attempt that was refused as not run is never dispatched`(@ForAll seed: Long) {
        val world = KeyAuthoritySimulation(Random(seed))
        world.run(STEPS)
        val both = world.refusedAttempts intersect world.dispatchedAttempts
        check(both.isEmpty()) { "refused and dispatched: $both" }
    }

    @Example
    fun `the check fails when a refused replica is ignored`() =
        expectDoubleDispatch(KeyAuthoritySimulation.Mutation.IGNORES_REFUSED_REPLICA)

    @Example
    fun `the check fails when a new successor gets no memory`() =
        expectDoubleDispatch(KeyAuthoritySimulation.Mutation.SENDS_EMPTY_TRANSFER)

    @Example
    fun `the check fails when a late grant is used`() =
        expectDoubleDispatch(KeyAuthoritySimulation.Mutation.USES_LATE_GRANT)

    @Example
    fun `the check fails when an owner without memory does not close its slot`() =
        expectDoubleDispatch(KeyAuthoritySimulation.Mutation.NO_CLOSED_SLOT)

    private fun expectDoubleDispatch(mutation: KeyAuthoritySimulation.Mutation) {
        val isFound = (0L until MUTANT_SEEDS).any { seed ->
            val world = KeyAuthoritySimulation(Random(seed), setOf(mutation))
            world.run(MUTANT_STEPS)
            world.dispatches.values.any { it > 1 }
        }
        check(isFound) { "no seed shows what $mutation breaks" }
    }

    private companion object {
        const val STEPS = 1_000
        const val MUTANT_STEPS = 1_500
        const val MUTANT_SEEDS = 2_000L
    }
}
