package org.bronzetide.scheduling.fleet

/**
 * The urgency of a request among all requests of all accounts; the lowest value is the most urgent.
 *
 * The account's priority decides first, and the route's among requests of accounts of the same
 * priority. If the account's priority alone decided, nothing would be urgent where all accounts
 * have the same one. A request whose account has no priority is ranked by its route's.
 */
@JvmInline
public value class RequestRank private constructor(public val value: Int) {
    public companion object {
        private const val ROUTE_PRIORITIES = 10

        /** Ranks stay below those of late requests, see [WaitingQueue.DEFERRED_RANK]. */
        private const val MAX_ACCOUNT_PRIORITY = 98

        /** Returns the rank for priorities of which 0 is the most urgent. */
        public fun of(accountPriority: Int?, routePriority: Int): RequestRank {
            val first = (accountPriority ?: routePriority).coerceIn(0, MAX_ACCOUNT_PRIORITY)
            return RequestRank(
                first * ROUTE_PRIORITIES + routePriority.coerceIn(0, ROUTE_PRIORITIES - 1)
            )
        }
    }
}
