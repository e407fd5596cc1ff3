package org.bronzetide.scheduling.fleet

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/** Versions that might be under an order which has not been read yet. */
class HeldVersionsTest {
    private val held = HeldVersions()

    /** Guards against a new version that gets all requests before its order is known. */
    @Example
    fun versionThatAppearsBesideAnotherOneIsHeldUntilTheOrdersAreRead() {
        held.onOrdersRead(0)
        update(100, "1" to 5L)
        assertThat(held.held).isEmpty()
        update(10_000, "1" to 5L, "2" to 9L)
        assertThat(held.held).containsExactly(HeldVersion("app", "2"))
        held.onOrdersRead(10_100)
        assertThat(held.held).containsExactly(HeldVersion("app", "2"))
        held.onOrdersRead(11_100)
        assertThat(held.held).isEmpty()
    }

    /** Guards against a host that starts during a rollout and cannot reach the store. */
    @Example
    fun versionOfTheOldestTargetIsUsedWhileNoOrdersAreKnown() {
        update(0, "2" to 9L, "1" to 5L)
        assertThat(held.held).containsExactly(HeldVersion("app", "2"))
        held.onOrdersRead(10)
        assertThat(held.held).isEmpty()
    }

    /** Guards against a service of one version, or of none, that gets no requests. */
    @Example
    fun onlyVersionOfAServiceIsNeverHeld() {
        update(0, null to 0L)
        assertThat(held.held).isEmpty()
        update(10, "1" to 0L)
        assertThat(held.held).isEmpty()
    }

    private fun update(nowMs: Long, vararg starts: Pair<String?, Long>) {
        val startedAtMs = starts.associate { (version, startMs) -> target(version) to startMs }
        held.updateTargets(startedAtMs.keys, nowMs, startedAtMs::getValue)
    }

    private fun target(version: String?) =
        FleetTarget("t$version", "app", "z1", 8, false, isEngine = false, version = version)
}
