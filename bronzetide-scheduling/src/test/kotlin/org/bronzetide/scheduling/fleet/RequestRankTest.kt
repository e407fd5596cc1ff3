package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/** A fleet whose accounts nearly all have the same priority, while routes differ in urgency. */
class RequestRankTest {
    /** Guards against an account's priority that hides the urgency of routes. */
    @Example
    fun routesDecideAmongAccountsOfOnePriority() {
        assertThat(rank(1, 0)).isLessThan(rank(1, 1)).isLessThan(rank(1, 2))
    }

    @Example
    fun accountsDecideBeforeRoutes() {
        assertThat(rank(0, 9)).isLessThan(rank(1, 0))
    }

    @Example
    fun requestsWithoutAnAccountsPriorityAreRankedByTheirRoute() {
        assertThat(rank(null, 0)).isLessThan(rank(null, 2))
        assertThat(rank(null, 0)).isLessThan(rank(1, 0))
        assertThat(rank(null, 2)).isGreaterThan(rank(1, 0))
    }

    /** Guards against a rank that is taken for that of a late request. */
    @Example
    fun ranksStayBelowThoseOfLateRequests() {
        assertThat(rank(Int.MAX_VALUE, Int.MAX_VALUE)).isLessThan(WaitingQueue.DEFERRED_RANK)
        assertThat(rank(-1, -1)).isZero()
    }

    private fun rank(account: Int?, route: Int) = RequestRank.of(account, route).value
}
