package org.bronzetide.scheduling.streams

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.fleet.TargetStart

/** The versions of services within a window of 1,000 ms. */
class ServedVersionsTest {
    private val served = ServedVersions(windowMs = 1_000)

    /** Guards against streams of a version that left being continued at the one that is left. */
    @Example
    fun versionThatLeftCountsForAWindow() {
        served.updateTargets(listOf(target("t1", "1"), target("t2", "2")), nowMs = 0)
        assertThat(served.isMixed("chat", nowMs = 5_000)).isTrue()
        served.updateTargets(listOf(target("t2", "2")), nowMs = 5_000)
        assertThat(served.of("chat", nowMs = 5_999)).isEqualTo(versions("1", "2"))
        assertThat(served.isMixed("chat", nowMs = 5_999)).isTrue()
        assertThat(served.of("chat", nowMs = 6_000)).isEqualTo(versions("2"))
        assertThat(served.isMixed("chat", nowMs = 6_000)).isFalse()
    }

    /** Guards against a host that has just started and takes what it sees for all there was. */
    @Example
    fun hostKnowsAllVersionsAfterAWindow() {
        served.updateTargets(emptyList(), nowMs = 0)
        served.updateTargets(listOf(target("t1", "1")), nowMs = 500)
        assertThat(served.isSettled("chat", nowMs = 1_499)).isFalse()
        assertThat(served.isSettled("chat", nowMs = 1_500)).isTrue()
        assertThat(served.isSettled("other", nowMs = 1_500)).isFalse()
    }

    /** Guards against a decision from the history alone: a version may have come since. */
    @Example
    fun historyNeedsTheTargetsBesides() {
        served.add("chat", versions("1"), seenAtMs = -200)
        served.settle()
        assertThat(served.isSettled("chat", nowMs = 0)).isFalse()
        served.updateTargets(listOf(target("t2", "2")), nowMs = 0)
        assertThat(served.isSettled("chat", nowMs = 0)).isTrue()
        assertThat(served.of("chat", nowMs = 799)).isEqualTo(versions("1", "2"))
        assertThat(served.of("chat", nowMs = 800)).isEqualTo(versions("2"))
    }

    /** Guards against what was heard of a version making one that left last longer. */
    @Example
    fun lateNewsDoesNotShortenOrProlongAVersion() {
        served.updateTargets(listOf(target("t1", "1")), nowMs = 0)
        served.updateTargets(listOf(target("t2", "2")), nowMs = 100)
        served.add("chat", versions("1"), seenAtMs = 50)
        assertThat(served.agesMs("chat", nowMs = 200))
            .isEqualTo(mapOf(SoftwareVersion("1") to 100L, SoftwareVersion("2") to 0L))
    }

    /** Guards against a longer window that finds versions of the time before it forgotten. */
    @Example
    fun windowCanGrow() {
        served.updateTargets(listOf(target("t1", "1")), nowMs = 0)
        served.updateTargets(listOf(target("t2", "2")), nowMs = 1_000)
        served.updateTargets(listOf(target("t2", "2")), nowMs = 3_000)
        served.windowMs = 10_000
        assertThat(served.of("chat", nowMs = 3_000)).isEqualTo(versions("1", "2"))
        assertThat(served.isSettled("chat", nowMs = 3_000)).isFalse()
    }

    /** Guards against targets without a version whose streams are taken for alike. */
    @Example
    fun targetsThatStateNoVersionAreOfDifferentOnes() {
        val first = target("t1", version = null)
        served.updateTargets(listOf(first, target("t2", version = null)), nowMs = 0)
        assertThat(served.isMixed("chat", nowMs = 0)).isTrue()
        served.updateTargets(listOf(first.copy(start = TargetStart(1))), nowMs = 2_000)
        assertThat(served.of("chat", nowMs = 2_000)).hasSize(3)
    }

    private companion object {
        fun versions(vararg names: String) = names.map(::SoftwareVersion).toSet()

        fun target(id: String, version: String?) = FleetTarget(
            id,
            "chat",
            "z1",
            slots = 8,
            isLeaving = false,
            isEngine = true,
            version = version
        )
    }
}
