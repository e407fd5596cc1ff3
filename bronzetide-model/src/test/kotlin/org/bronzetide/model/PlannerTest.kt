package org.bronzetide.model

import net.jqwik.api.Example

class PlannerTest {
    private val digest = "a".repeat(64)
    private val caller = ConfigObject.CallerObject(digest)
    private val base = Configuration(3, mapOf("caller/desk" to caller))

    @Example
    fun `a plan contains only changed objects`() {
        val intent = Intent(callers = mapOf("desk" to caller, "new" to caller.copy("b".repeat(64))))
        val plan = Planner.plan(intent, base, "p1")
        check(plan.changes.map { it.action to it.name } == listOf("create" to "caller/new"))
    }

    @Example
    fun `concurrent changes of other objects are retained`() {
        val plan = Planner.plan(
            Intent(callers = mapOf("desk" to caller.copy(tier = 1))),
            base,
            "p1"
        )
        val tier = ConfigObject.TierObject(1)
        val changed = base.copy(version = 4, objects = base.objects + ("tier/urgent" to tier))
        val result = Planner.apply(plan, changed) as ConfirmResult.Applied
        check(result.configuration.version == 5L)
        check(result.configuration.objects["tier/urgent"] == tier)
        check(result.configuration.callers.getValue(CallerId("desk")).tier == 1)
    }

    @Example
    fun `a concurrent change of the same object is a conflict that shows the difference`() {
        val plan = Planner.plan(
            Intent(callers = mapOf("desk" to caller.copy(tier = 1))),
            base,
            "p1"
        )
        val theirs = caller.copy(tier = 4)
        val changed = base.copy(version = 4, objects = mapOf("caller/desk" to theirs))
        val result = Planner.apply(plan, changed) as ConfirmResult.Conflict
        check(result.differences == listOf(Plan.Change("caller/desk", caller, theirs)))
    }

    @Example
    fun `confirming a plan again does not apply it twice`() {
        val plan = Planner.plan(Intent(remove = listOf("caller/desk")), base, "p1")
        val applied = Planner.apply(plan, base) as ConfirmResult.Applied
        check(Planner.apply(plan, applied.configuration) == ConfirmResult.AlreadyDone(4))
    }
}
