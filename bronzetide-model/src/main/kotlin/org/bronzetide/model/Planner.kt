package org.bronzetide.model

/** Derives plans from intents and applies confirmed plans to a configuration. */
public object Planner {
    /** Returns the plan that changes [current] as [intent] states. The intent must be valid. */
    public fun plan(intent: Intent, current: Configuration, planId: String): Plan {
        val stated = intent.objects()
            .filter { (name, value) -> current.objects[name] != value }
            .map { (name, value) -> Plan.Change(name, current.objects[name], value) }
        val removed = intent.remove.map { Plan.Change(it, before = current.objects[it]) }
        val changes = (stated + removed).sortedBy { it.name }
        return Plan(planId, current.version, changes, changes.flatMap { effects(it) })
    }

    /**
     * Applies [plan] to [current], which may be newer than the version that the plan is based on.
     *
     * Changes made since then are retained. One that affects an object of the plan is a conflict.
     */
    public fun apply(plan: Plan, current: Configuration): ConfirmResult {
        val confirmed = current.confirmedPlans.find { it.planId == plan.planId }
        if (confirmed != null) return ConfirmResult.AlreadyDone(confirmed.version)
        val conflicts = plan.changes
            .filter { current.objects[it.name] != it.before }
            .map { Plan.Change(it.name, it.before, current.objects[it.name]) }
        if (conflicts.isNotEmpty()) return ConfirmResult.Conflict(current.version, conflicts)
        val objects = current.objects.toMutableMap()
        plan.changes.forEach { change ->
            change.after?.let { objects[change.name] = it } ?: objects.remove(change.name)
        }
        val errors = IntentValidator.validate(Intent(), Configuration(objects = objects))
        if (errors.isNotEmpty()) return ConfirmResult.Invalid(errors)
        val version = current.version + 1
        val plans = current.confirmedPlans + ConfirmedPlan(plan.planId, version)
        return ConfirmResult.Applied(
            Configuration(version, objects, plans.takeLast(Configuration.MAX_CONFIRMED_PLANS))
        )
    }

    private fun effects(change: Plan.Change): List<String> {
        val after = change.after
        val before = change.before
        return when {
            before is ConfigObject.PoolObject && after == null ->
                listOf("${change.name}: new requests are refused, running ones finish")

            before is ConfigObject.CallerObject && after == null ->
                listOf("${change.name}: its key stops working, its running requests finish")

            before is ConfigObject.CallerObject &&
                after is ConfigObject.CallerObject &&
                before.keySha256 != after.keySha256 ->
                listOf("${change.name}: the former key stops working at once")

            before is ConfigObject.PoolObject && after is ConfigObject.PoolObject ->
                listOf("${change.name}: running and queued requests keep their place")

            after is ConfigObject.RuleObject || before is ConfigObject.RuleObject ->
                listOf("${change.name}: applies to requests that arrive from now on")

            else -> emptyList()
        }
    }
}
