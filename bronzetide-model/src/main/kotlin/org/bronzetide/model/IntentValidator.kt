package org.bronzetide.model

/** Validates intents against the configuration that they would change. */
public object IntentValidator {
    private val namePattern = Regex("[a-z0-9][a-z0-9._-]{0,62}")
    private val digestPattern = Regex("[0-9a-f]{64}")

    /**
     * Returns every error of [intent], ordered by path, or an empty list if it may be planned.
     *
     * The result includes references and duplicates anywhere in the configuration that would result
     * from applying [intent] to [current].
     */
    public fun validate(intent: Intent, current: Configuration): List<ValidationError> {
        val stated = intent.objects()
        val result = Configuration(objects = current.objects - intent.remove.toSet() + stated)
        val errors = ArrayList<ValidationError>()
        stated.forEach { (name, value) ->
            if (!namePattern.matches(name.substringAfter('/'))) {
                errors +=
                    ValidationError(
                        name,
                        "a name has 1 to 63 of a-z 0-9 . _ - and starts with a letter or digit"
                    )
            }
            errors += objectErrors(name, value, result)
        }
        errors += removalErrors(intent, current, stated.keys)
        errors += danglingReferenceErrors(result, stated.keys)
        errors += duplicateErrors(result)
        return errors.distinct().sortedBy { it.path }
    }

    private fun objectErrors(
        name: String,
        value: ConfigObject,
        result: Configuration
    ): List<ValidationError> = when (value) {
        is ConfigObject.TierObject -> tierErrors(name, value)
        is ConfigObject.CallerObject -> callerErrors(name, value)
        is ConfigObject.PoolObject -> poolErrors(name, value)
        is ConfigObject.RuleObject -> ruleErrors(name, value, result)
    }

    private fun tierErrors(name: String, tier: ConfigObject.TierObject) = listOfNotNull(
        levelError("$name.level", tier.level),
        positiveError("$name.deadlineMs", tier.deadlineMs.toDouble()),
        maxDeadlineError("$name.deadlineMs", tier.deadlineMs)
    )

    private fun callerErrors(name: String, caller: ConfigObject.CallerObject) = listOfNotNull(
        ValidationError("$name.keySha256", "must be 64 lower-case hexadecimal digits")
            .takeUnless { digestPattern.matches(caller.keySha256) },
        levelError("$name.tier", caller.tier),
        positiveError("$name.weight", caller.weight)
    )

    private fun poolErrors(name: String, pool: ConfigObject.PoolObject): List<ValidationError> =
        listOfNotNull(
            ValidationError("$name.models", "a model pool needs a model name")
                .takeIf { pool.kind == PoolKind.MODEL && pool.models.isEmpty() },
            ValidationError("$name.operations", "a service pool needs an operation")
                .takeIf { pool.kind == PoolKind.SERVICE && pool.operations.isEmpty() },
            ValidationError("$name.operations", "an operation's path must start with /")
                .takeIf { pool.operations.any { !it.path.startsWith("/") } },
            ValidationError(
                "$name.operations",
                "an operation's method must be GET, POST, PUT or DELETE"
            )
                .takeIf { pool.operations.any { it.method !in methods } },
            positiveError("$name.concurrencyPerTarget", pool.concurrencyPerTarget.toDouble()),
            positiveError("$name.maxQueued", pool.maxQueued.toDouble()),
            positiveError("$name.betweenTokensMs", pool.betweenTokensMs),
            positiveError("$name.firstTokenMs", pool.firstTokenMs),
            positiveError("$name.shards", pool.shards.toDouble()),
            ValidationError("$name.retryShare", "must be from 0 to 1")
                .takeUnless { pool.retryShare in 0.0..1.0 }
        )

    private fun ruleErrors(
        name: String,
        rule: ConfigObject.RuleObject,
        result: Configuration
    ): List<ValidationError> = listOfNotNull(
        rule.tier?.let { levelError("$name.tier", it) },
        rule.deadlineMs?.let { positiveError("$name.deadlineMs", it.toDouble()) },
        rule.deadlineMs?.let { maxDeadlineError("$name.deadlineMs", it) },
        rule.requestsPerSecond?.let { positiveError("$name.requestsPerSecond", it) },
        rule.tokensPerSecond?.let { positiveError("$name.tokensPerSecond", it) },
        rule.concurrent?.let { positiveError("$name.concurrent", it.toDouble()) },
        ValidationError("$name.operation", "needs a pool that has this operation").takeIf {
            rule.operation != null &&
                result.pools[PoolId(rule.pool.orEmpty())]?.operations.orEmpty()
                    .none { it.name == rule.operation }
        }
    )

    private fun removalErrors(intent: Intent, current: Configuration, stated: Set<String>) =
        intent.remove.mapNotNull { name ->
            when (name) {
                in stated -> ValidationError("remove[$name]", "is stated and removed at once")
                !in current.objects -> ValidationError("remove[$name]", "does not exist")
                else -> null
            }
        }

    private fun danglingReferenceErrors(
        result: Configuration,
        stated: Set<String>
    ): List<ValidationError> = result.rules.flatMap { (name, rule) ->
        val path = if ("rule/$name" in stated) "rule/$name" else "remove (rule/$name uses it)"
        listOfNotNull(
            ValidationError("$path.caller", "no caller is named ${rule.caller}")
                .takeIf { rule.caller != null && CallerId(rule.caller) !in result.callers },
            ValidationError("$path.pool", "no pool is named ${rule.pool}")
                .takeIf { rule.pool != null && PoolId(rule.pool) !in result.pools }
        )
    }

    private fun duplicateErrors(result: Configuration): List<ValidationError> {
        val models = result.pools.flatMap { (id, pool) -> pool.models.map { it to id } }
            .groupBy({ it.first }, { it.second }).filterValues { it.size > 1 }
            .map { (model, pools) ->
                ValidationError("pool/${pools.last()}.models", "$model is also in ${pools.first()}")
            }
        val keys = result.callers.entries.groupBy {
            it.value.keySha256
        }.values.filter { it.size > 1 }
            .map {
                ValidationError(
                    "caller/${it.last().key}.keySha256",
                    "is also the key of ${it.first().key}"
                )
            }
        return models + keys
    }

    private fun levelError(path: String, level: Int): ValidationError? =
        ValidationError(path, "must be from ${Tier.MOST_URGENT} to ${Tier.LEAST_URGENT}")
            .takeUnless { level in Tier.MOST_URGENT..Tier.LEAST_URGENT }

    private fun positiveError(path: String, value: Double): ValidationError? =
        ValidationError(path, "must be positive").takeUnless { value > 0 && value.isFinite() }

    private fun maxDeadlineError(path: String, valueMs: Long): ValidationError? =
        ValidationError(path, "must be at most $MAX_DEADLINE_MS")
            .takeIf { valueMs > MAX_DEADLINE_MS }

    private val methods = setOf("GET", "POST", "PUT", "DELETE")

    /** The longest deadline, in milliseconds. Idempotency keys are retained for longer. */
    public const val MAX_DEADLINE_MS: Long = 240_000
}
