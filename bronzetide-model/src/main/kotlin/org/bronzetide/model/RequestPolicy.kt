package org.bronzetide.model

/** The settings that apply to one request. */
public data class RequestPolicy(
    val tier: Tier,
    val deadlineMs: Long,
    val weight: Double,
    val limits: CallerLimits
) {
    public companion object {
        /**
         * Returns the policy for a request of [caller] to [pool].
         *
         * Each field is taken from the most specific matching rule that sets it. That is the rule
         * that names most of caller, pool and operation, and among equals the last one by name.
         * [requestedTier] can only lower the urgency.
         *
         * @throws NoSuchElementException if [caller] is not configured.
         */
        public fun of(
            configuration: Configuration,
            caller: CallerId,
            pool: PoolId,
            operation: String?,
            requestedTier: Tier?
        ): RequestPolicy {
            val account = configuration.callers.getValue(caller)
            val rules = configuration.rules.values
                .filter { it.matches(caller, pool, operation) }
                .sortedBy { it.specificity }
            val configuredTier = Tier(rules.mapNotNull { it.tier }.lastOrNull() ?: account.tier)
            val tier = maxOf(configuredTier, requestedTier ?: configuredTier)
            return RequestPolicy(
                tier = tier,
                deadlineMs = rules.mapNotNull { it.deadlineMs }.lastOrNull()
                    ?: configuration.deadlineMs(tier),
                weight = account.weight,
                limits = CallerLimits(
                    rules.mapNotNull { it.requestsPerSecond }.lastOrNull(),
                    rules.mapNotNull { it.tokensPerSecond }.lastOrNull(),
                    rules.mapNotNull { it.concurrent }.lastOrNull()
                )
            )
        }

        private fun ConfigObject.RuleObject.matches(
            caller: CallerId,
            pool: PoolId,
            operation: String?
        ): Boolean {
            val matchesCaller = this.caller == null || this.caller == caller.value
            val matchesPool = this.pool == null || this.pool == pool.value
            return matchesCaller &&
                matchesPool &&
                (this.operation == null || this.operation == operation)
        }

        private val ConfigObject.RuleObject.specificity: Int
            get() = listOfNotNull(caller, pool, operation).size
    }
}

/** The limits of one caller in one pool. A limit of `null` is unlimited. */
@kotlinx.serialization.Serializable
public data class CallerLimits(
    val requestsPerSecond: Double? = null,
    val tokensPerSecond: Double? = null,
    val concurrent: Int? = null
)
