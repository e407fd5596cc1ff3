package org.bronzetide.edge.state

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.coordination.Blackboard
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.ManualClock
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.Changes
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.StoredObject

/** Entries that go, lapse and come back, around outages of the store. */
class TargetRegistryTest {
    private val clock = ManualClock()
    private val board = Blackboard()
    private val control = ControlLoop(clock)
    private val keeper =
        TargetRegistry(board, control, clock, DecisionLog(clock, omitsRequests = true))

    @AfterTry
    fun close() = control.close()

    @Example
    fun entryThatIsGoneIsUsedForAMomentAndThenDropped() = runBlocking {
        keeper.onListing(Listing(listOf(entry("t1"), entry("t2")), 5))
        keeper.onChanges(Changes(emptyList(), listOf("t1"), 6))
        assertThat(used()).containsExactly("t1", "t2")
        advance(1_300)
        assertThat(used()).containsExactly("t2")
        Unit
    }

    @Example
    fun leavingEntryIsMarkedAtOnceAndDroppedWhenItGoes() = runBlocking {
        keeper.onListing(Listing(listOf(entry("t1")), 5))
        keeper.onChanges(Changes(listOf(entry("t1", "draining")), emptyList(), 6))
        assertThat(board[BlackboardKeys.targets].getValue("t1").isLeaving).isTrue()
        keeper.onChanges(Changes(emptyList(), listOf("t1"), 7))
        advance(1)
        assertThat(used()).isEmpty()
    }

    @Example
    fun entryThatLapsedDuringAnOutageMayComeBackWithinTwoSeconds() = runBlocking {
        keeper.onListing(Listing(listOf(entry("t1"), entry("t2")), 5))
        advance(10_000)
        keeper.onStoreAvailable(0)
        keeper.onListing(Listing(emptyList(), 9))
        advance(2_000)
        assertThat(used()).containsExactly("t1", "t2")
        keeper.onChanges(Changes(listOf(entry("t1")), emptyList(), 10))
        advance(300)
        assertThat(used()).containsExactly("t1")
        Unit
    }

    @Example
    fun entryThatCannotBeReadLeavesTheOthersInUse() = runBlocking {
        val odd = StoredObject("odd", 6, Json.parseToJsonElement("{\"slots\":{}}").jsonObject)
        keeper.onListing(Listing(listOf(entry("t1"), odd), 6))
        assertThat(used()).containsExactly("t1")
        Unit
    }

    @Example
    fun peersEntriesAreTakenOnlyWhileNothingWasReadFromTheStore() = runBlocking {
        keeper.seedFromPeer(listOf(entry("t1")))
        assertThat(used()).containsExactly("t1")
        keeper.onListing(Listing(listOf(entry("t2")), 6))
        keeper.seedFromPeer(listOf(entry("t3")))
        assertThat(used()).doesNotContain("t3")
        Unit
    }

    private suspend fun advance(durationMs: Long) {
        clock.advance(durationMs)
        control.call { keeper.expire() }
    }

    private fun used(): List<String> = board[BlackboardKeys.targets].keys.sorted()

    private fun entry(id: String, state: String = "ready") = StoredObject(
        id,
        1,
        Json.parseToJsonElement(
            """{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"$state"}"""
        ).jsonObject
    )
}
