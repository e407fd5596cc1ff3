package org.bronzetide.model

/** What the rules say of one request. */
public data class RequestPolicy(
    val tier: Tier,
    val deadlineMs: Long,
    val weight: Double,
    val limits: CallerLimits
) {
    public companion object {
        /**
         * The policy for a request of [caller] to [pool].
         *
         * Of the matching rules, the one that names most of caller, pool and operation decides each
         * field; ties go to the later name. [requestedTier] can only lower the urgency.
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
            val granted = Tier(rules.mapNotNull { it.tier }.lastOrNull() ?: account.tier)
            val tier = maxOf(granted, requestedTier ?: granted)
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
            val callerFits = this.caller == null || this.caller == caller.value
            val poolFits = this.pool == null || this.pool == pool.value
            return callerFits && poolFits && (this.operation == null || this.operation == operation)
        }

        private val ConfigObject.RuleObject.specificity: Int
            get() = listOfNotNull(caller, pool, operation).size
    }
}

/** The limits on one caller in one pool; an absent limit does not bind. */
@kotlinx.serialization.Serializable
public data class CallerLimits(
    val requestsPerSecond: Double? = null,
    val tokensPerSecond: Double? = null,
    val concurrent: Int? = null
)
