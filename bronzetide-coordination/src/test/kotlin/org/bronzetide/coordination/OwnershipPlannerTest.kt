package org.bronzetide.coordination

import net.jqwik.api.Example

class OwnershipPlannerTest {
    private val a = NodeId("a")
    private val b = NodeId("b")
    private val c = NodeId("c")
    private val map = OwnershipMap(listOf(OwnershipMap.Slot(a, b, epoch = 1)))

    @Example
    fun `nothing changes while owner and successor are alive`() {
        check(planner(a).plan(map) == null)
        check(planner(c).plan(map) == null)
    }

    @Example
    fun `the successor takes over from an unreachable owner`() {
        val slot = planner(b, unreachable = setOf(a)).plan(map)!!.slots.single()
        check(slot.owner == b && slot.successor == c && slot.epoch == 2L)
    }

    @Example
    fun `a successor without claim history waits until the owner is dead`() {
        val suspected = planner(b, unreachable = setOf(a), isReplicated = false)
        check(suspected.plan(map) == null)
        val dead = planner(b, unreachable = setOf(a), dead = setOf(a), isReplicated = false)
        check(dead.plan(map)!!.slots.single().owner == b)
    }

    @Example
    fun `a leaving owner first transfers its claim history to an eligible successor`() {
        val eligible = setOf(c)
        val first = OwnershipPlanner(a, eligible, emptySet(), emptySet()) { true }.plan(map)!!
        check(first.slots.single().let { it.owner == a && it.successor == c })
        check(OwnershipPlanner(a, eligible, emptySet(), emptySet()) { false }.plan(first) == null)
        val second = OwnershipPlanner(a, eligible, emptySet(), emptySet()) { true }.plan(first)!!
        check(second.slots.single().owner == c)
    }

    @Example
    fun `a third node changes nothing while the successor is alive`() {
        check(planner(c, unreachable = setOf(a), dead = setOf(a)).plan(map) == null)
    }

    @Example
    fun `a third node takes a slot only when owner and successor are dead`() {
        val both = setOf(a, b)
        check(planner(c, unreachable = both).plan(map) == null)
        val slot = planner(c, unreachable = both, dead = both).plan(map)!!.slots.single()
        check(slot.owner == c && slot.successor == null)
    }

    @Example
    fun `a leaving owner hands its slot over to its successor`() {
        val planner = OwnershipPlanner(a, setOf(b, c), emptySet(), emptySet()) { true }
        val slot = planner.plan(map)!!.slots.single()
        check(slot.owner == b && slot.successor == c)
    }

    @Example
    fun `an owner replaces an unreachable successor`() {
        val slot = planner(a, unreachable = setOf(b)).plan(map)!!.slots.single()
        check(slot.owner == a && slot.successor == c)
    }

    private fun planner(
        self: NodeId,
        unreachable: Set<NodeId> = emptySet(),
        dead: Set<NodeId> = emptySet(),
        isReplicated: Boolean = true
    ) = OwnershipPlanner(self, setOf(a, b, c) - unreachable, unreachable, dead) { isReplicated }
}
