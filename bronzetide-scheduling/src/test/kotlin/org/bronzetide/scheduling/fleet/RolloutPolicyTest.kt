package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.scheduling.fleet.RolloutFleet.Load
import org.bronzetide.scheduling.fleet.RolloutFleet.Response

/** Which versions are found bad, how soon, and how many requests they get until then. */
class RolloutPolicyTest {
    /** Guards against a good version that is given up because its targets differ in speed. */
    @Example
    fun goodVersionIsProposedForCompletionInTime() {
        (1L..SEEDS).forEach { seed ->
            val fleet = RolloutFleet(8, requestsPerStep = 2.0, seed = seed).apply { start() }
            fleet.run(53_900)
            assertThat(fleet.proposals()).`as`("seed $seed")
                .containsExactly(RolloutDecision.Completed)
            assertExposureIsBounded(fleet)
        }
    }

    /** The load pattern of the large service: many targets of different speed, nearly full. */
    @Example
    fun goodVersionOfALargeServiceIsProposedForCompletionInTime() {
        (1L..SEEDS / 2).forEach { seed ->
            val fleet = RolloutFleet(78, 20.0, 42, 42, seed = seed).apply { start() }
            fleet.run(53_900)
            assertThat(fleet.proposals()).`as`("seed $seed")
                .containsExactly(RolloutDecision.Completed)
        }
    }

    /** Guards against a good version that is given up because one of its targets hangs. */
    @Example
    fun hangingTargetDoesNotMakeAVersionBad() {
        (1L..SEEDS / 2).forEach { seed ->
            val fleet = RolloutFleet(78, 20.0, 42, 42, seed = seed) { load ->
                Response(100, isFailure = load.target == "new0")
            }
            fleet.start()
            fleet.run(53_900)
            assertThat(fleet.proposals()).`as`("seed $seed")
                .containsExactly(RolloutDecision.Completed)
        }
    }

    /** Guards against a version that fails from the start and stays in use. */
    @Example
    fun versionThatIsBadAtOnceIsStopped() {
        assertStopped { load ->
            Response(50, isFailure = load.random.nextDouble() < 0.3)
        }
    }

    /** Guards against good responses at first that hide what comes later. */
    @Example
    fun versionThatTurnsBadLateIsStopped() {
        assertStopped(badFromMs = 35_000) { load ->
            Response(100, isFailure = load.elapsedMs > 35_000 && load.random.nextDouble() < 0.3)
        }
    }

    /** Guards against good responses on other routes that hide those of one. */
    @Example
    fun versionThatIsBadOnOneRouteOnlyIsStopped() {
        assertStopped { load ->
            Response(100, load.route == "route2" && load.random.nextDouble() < 0.4)
        }
    }

    /** Guards against a trial at targets that are so idle that the fault does not show. */
    @Example
    fun versionThatIsBadUnderLoadOnlyIsStopped() {
        val fleet = assertStopped { load ->
            Response(100, load.inProgress >= 5 && load.random.nextDouble() < 0.5)
        }
        assertThat(fleet.maxInProgress).isGreaterThanOrEqualTo(5)
    }

    /** Guards against a version without failures that takes several times longer. */
    @Example
    fun slowVersionIsStopped() {
        assertStopped { Response(400) }
    }

    /** Guards against a version that turns slow late, when the averages are still good. */
    @Example
    fun versionThatTurnsSlowLateIsStopped() {
        assertStopped(badFromMs = 35_000) { load ->
            Response(if (load.elapsedMs > 35_000) 500 else 100)
        }
    }

    /** Guards against slow versions that pass for slow machines. */
    @Example
    fun slowVersionOfALargeServiceIsStopped() {
        (1L..SEEDS / 2).forEach { seed ->
            val fleet = RolloutFleet(78, 20.0, 42, 42, seed = seed) { Response(350) }
            fleet.start()
            fleet.run(53_900)
            assertThat(fleet.proposals()).`as`("seed $seed")
                .hasOnlyElementsOfType(RolloutDecision.RolledBack::class.java)
            assertExposureIsBounded(fleet)
        }
    }

    /** Guards against a bound that holds on each host but not for the sum, with few requests. */
    @Example
    fun exposureIsBoundedOverAllHosts() {
        listOf(8, 78, 300).forEach { hostCount ->
            listOf(0.2, 5.0).forEach { rate ->
                // The fault is never found, so only the budgets stop it.
                val fleet = RolloutFleet(hostCount, rate, 6, 6, durationMs = 30_000)
                fleet.start()
                fleet.run(10_000)
                fleet.hosts.filterIndexed { index, _ -> index % 2 == 0 }.forEach {
                    it.restart()
                    it.policy.start(fleet.order, 10_000, fleet.nowMs)
                }
                fleet.run(20_000) { assertExposureIsBounded(fleet) }
            }
        }
    }

    /** Guards against hosts that hear nothing of a fault that others have found. */
    @Example
    fun hostsThatHearNothingKeepToTheBoundsToo() {
        listOf(8, 78, 300).forEach { hostCount ->
            val fleet = RolloutFleet(hostCount, 5.0, 6, 6) { Response(50, isFailure = true) }
            fleet.start()
            fleet.hosts.filterIndexed { index, _ -> index % 3 == 0 }.forEach {
                it.isIsolated = true
            }
            fleet.run(30_000)
            assertExposureIsBounded(fleet)
            assertThat(fleet.fiftiethBadAtMs).isNull()
        }
    }

    /** Guards against a decision that is undone by an older state of the store, or by a peer. */
    @Example
    fun finalDecisionStays() {
        val policy = RolloutPolicy(0.1, 50.0) { 1 }
        val order = RolloutOrder("app", ServiceVersion("2"), 60_000)
        policy.onHeard(0)
        assertThat(policy.start(order, 0, 0)).isTrue()
        policy.onRecorded(order, RolloutDecision.Completed)
        policy.onRecorded(order, RolloutDecision.RolledBack("late"))
        assertThat(policy.start(order, 0, 1_000)).isTrue()
        val peer = RolloutReport(order, 500, RolloutCounts(), RolloutDecision.RolledBack("peer"))
        policy.updatePeerReports(listOf(peer), 1_000)
        assertThat(policy.decisionOn("app")).isEqualTo(RolloutDecision.Completed)
        assertThat(policy.mayUse("app", "1", 1_000)).isFalse()
        assertThat(policy.mayUse("app", "2", 1_000)).isTrue()
    }

    /** Guards against an order of an older snapshot that replaces the current one. */
    @Example
    fun earlierOrderDoesNotReplaceTheCurrentOneUnlessItIsGivenAgain() {
        val policy = RolloutPolicy(0.1, 50.0) { 1 }
        val first = RolloutOrder("app", ServiceVersion("2"), 60_000)
        val second = first.copy(to = ServiceVersion("3"))
        policy.start(first, 0, 0)
        policy.start(second, 0, 100)
        assertThat(policy.start(first, 0, 200)).isFalse()
        assertThat(policy.orders).containsExactly(second)
        assertThat(policy.start(first, 0, 300, mayRepeat = true)).isTrue()
    }

    /** Guards against a host that spends its budget several times within one decision round. */
    @Example
    fun choicesThatAreNotCountedYetUseTheBudget() {
        val policy = RolloutPolicy(0.1, 50.0) { 1 }
        val new = FleetTarget("new", "app", "z1", 100, false, false, version = "2")
        policy.updateTargets(listOf(new))
        policy.onHeard(0)
        policy.start(RolloutOrder("app", new.version!!.let(::ServiceVersion), 60_000), 0, 0)
        val allowed = (1..100).count { policy.isAllowed(new, 0) }
        assertThat(allowed).isBetween(1, 50)
    }

    private fun assertStopped(badFromMs: Long = 0, behaviour: (Load) -> Response): RolloutFleet {
        var last: RolloutFleet? = null
        (1L..SEEDS).forEach { seed ->
            val fleet = RolloutFleet(8, 2.0, seed = seed, behaviour = behaviour).apply { start() }
            fleet.run(54_000)
            assertThat(fleet.proposals()).`as`("seed $seed")
                .hasOnlyElementsOfType(RolloutDecision.RolledBack::class.java)
            assertThat(fleet.lastExposureAtMs).isGreaterThan(badFromMs)
            fleet.fiftiethBadAtMs?.let {
                assertThat(fleet.lastExposureAtMs).isLessThan(it + ROLLBACK_MS)
            }
            assertExposureIsBounded(fleet)
            last = fleet
        }
        return last!!
    }

    private fun assertExposureIsBounded(fleet: RolloutFleet) =
        assertThat(fleet.exposedCount.toDouble()).isLessThanOrEqualTo(
            0.1 * fleet.requestCount + 50
        )

    private companion object {
        const val SEEDS = 10L
        const val ROLLBACK_MS = 5_000L
    }
}
