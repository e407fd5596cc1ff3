package org.bronzetide.edge.state

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.StoreStandIn
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.ObjectKinds

/** One holder at a time, also with lost responses, late writes and restorations of the store. */
class StoreLeaseTest {
    @Example
    fun candidateTakesOverAfterTheHolderWasSilentForTheDuration() = StoreClientEnvironment.test {
        val (first, second) = settledCandidates()
        val held = first.tryHold()!!
        assertThat(second.tryHold()).isNull()
        advance(STEP_MS)
        assertThat(first.tryHold()).isSameAs(held)
        assertThat(second.tryHold()).isNull()
        advance(StoreClientEnvironment.DURATION_MS - 1)
        assertThat(second.tryHold()).isNull()
        assertThat(held.isValid(clock.nowMs())).isFalse()
        advance(STEP_MS)
        val taken = second.tryHold()!!
        assertThat(taken.token).isGreaterThan(held.token)
        assertThat(first.tryHold()).isNull()
    }

    @Example
    fun releasedLeaseIsTakenAtOnce() = StoreClientEnvironment.test {
        val (first, second) = settledCandidates()
        val held = first.tryHold()!!
        first.release()
        assertThat(held.isValid(clock.nowMs())).isFalse()
        assertThat(second.tryHold()!!.token).isGreaterThan(held.token)
    }

    /** Guards against calls to the store on every use of a lease that is held. */
    @Example
    fun heldLeaseIsRenewedOnlyAtTheRenewalInterval() = StoreClientEnvironment.test {
        val lease = settledCandidates().first
        val held = lease.tryHold()
        val calls = standIn.callCount
        repeat(5) { assertThat(lease.tryHold()).isSameAs(held) }
        assertThat(standIn.callCount).isEqualTo(calls)
        advance(STEP_MS)
        lease.tryHold()
        assertThat(standIn.callCount).isEqualTo(calls + 1)
    }

    /** Guards against a validity that begins when a slow renewal is answered. */
    @Example
    fun validityCountsFromTheTimeAtWhichARenewalWasSent() = StoreClientEnvironment.test {
        val lease = settledCandidates().first
        val held = lease.tryHold()!!
        advance(STEP_MS)
        standIn.intercept = { _, execute -> execute().also { advance(2_000) } }
        lease.tryHold()
        advance(StoreClientEnvironment.DURATION_MS - 2_000)
        assertThat(held.isValid(clock.nowMs())).isFalse()
    }

    @Example
    fun renewalWhoseResponseWasLostIsReadBack() = StoreClientEnvironment.test {
        val lease = settledCandidates().first
        val held = lease.tryHold()!!
        advance(STEP_MS)
        loseNextResponse(isExecuted = true)
        assertThat(lease.tryHold()).isSameAs(held)
        assertThat(lease.tryHold()).isSameAs(held)
        advance(2 * STEP_MS)
        assertThat(held.isValid(clock.nowMs())).isTrue()
    }

    @Example
    fun takeoverWhoseResponseWasLostIsReadBack() = StoreClientEnvironment.test {
        listOf(true, false).forEach { isExecuted ->
            standIn.remove(ObjectKinds.LEASES, "svc")
            val (first, second) = settledCandidates()
            standIn.intercept = { request, execute ->
                if (request.method == "GET") {
                    execute()
                } else {
                    standIn.intercept = { _, next -> next() }
                    if (isExecuted) execute()
                    null
                }
            }
            assertThat(first.tryHold()).isNull()
            assertThat(second.tryHold() != null).isEqualTo(!isExecuted)
            advance(STEP_MS)
            assertThat(first.tryHold() != null).isEqualTo(isExecuted)
        }
    }

    /** Guards against a lease that is still used when nobody else can see it. */
    @Example
    fun leaseExpiresWhileTheStoreIsUnavailable() = StoreClientEnvironment.test {
        val lease = settledCandidates().first
        val held = lease.tryHold()!!
        standIn.isUnavailable = true
        advance(2 * STEP_MS)
        assertThat(lease.tryHold()).isSameAs(held)
        advance(STEP_MS)
        assertThat(lease.tryHold()).isNull()
        assertThat(held.isValid(clock.nowMs())).isFalse()
    }

    /** The era changes after an acquisition was acknowledged; another call tells the holder. */
    @Example
    fun leaseOfTheLostIntervalIsVoidAndNotTakenBeforeItsHolderMustKnow() =
        StoreClientEnvironment.test {
            standIn.takeSnapshot()
            val firstStore = client()
            val (first, second) = settledCandidates(firstStore)
            val held = first.tryHold()!!
            standIn.restore()
            assertThat(second.tryHold()).describedAs("first holder is still valid").isNull()
            assertThat(held.isValid(clock.nowMs())).isTrue()
            firstStore.list(ObjectKinds.TARGETS)
            assertThat(held.isValid(clock.nowMs())).isFalse()
            assertThat(first.tryHold()).isNull()
            advance(StoreClientEnvironment.DURATION_MS)
            val taken = second.tryHold()!!
            assertThat(taken.token).isGreaterThan(held.token)
            assertThat(first.tryHold()).isNull()
        }

    /** The era changes before, within and after the execution of a holder's renewal. */
    @Example
    fun renewalThatMeetsARestorationEndsTheLease() = StoreClientEnvironment.test {
        listOf("before", "after").forEach { moment ->
            standIn.remove(ObjectKinds.LEASES, "svc")
            val (first, second) = settledCandidates()
            val held = first.tryHold()!!
            standIn.takeSnapshot()
            advance(STEP_MS)
            standIn.intercept = { _, execute ->
                standIn.intercept = { _, next -> next() }
                if (moment == "before") standIn.restore()
                execute().also { if (moment == "after") standIn.restore() }
            }
            first.tryHold()
            advance(STEP_MS)
            assertThat(first.tryHold()).describedAs(moment).isNull()
            assertThat(held.isValid(clock.nowMs())).isFalse()
            assertThat(second.tryHold()).isNull()
            advance(StoreClientEnvironment.DURATION_MS)
            val holders = listOfNotNull(first.tryHold(), second.tryHold())
            assertThat(holders).hasSize(1)
            assertThat(holders.single().token).isGreaterThan(held.token)
        }
    }

    /**
     * Guards against two holders when a write from before a restoration is executed after it, on a
     * revision that was issued again.
     */
    @Example
    fun writeOfAnEarlierEraThatIsExecutedLateGivesNobodyTheLease() = StoreClientEnvironment.test {
        val stores = client() to client()
        val (first, second) = settledCandidates(stores.first, stores.second)
        first.tryHold()!!
        standIn.takeSnapshot()
        advance(STEP_MS)
        var late: () -> StoreStandIn.Reply = { error("no write was sent") }
        standIn.intercept = { _, execute ->
            late = execute
            standIn.intercept = { _, next -> next() }
            null
        }
        first.release()
        standIn.restore()
        stores.second.list(ObjectKinds.TARGETS)
        second.tryHold()
        advance(StoreClientEnvironment.DURATION_MS)
        val earlier = standIn.spec(ObjectKinds.LEASES, "svc")
        late()
        assertThat(standIn.spec(ObjectKinds.LEASES, "svc")).isNotEqualTo(earlier)
        assertThat(first.tryHold()).isNull()
        assertThat(second.tryHold()).isNull()
        advance(StoreClientEnvironment.DURATION_MS)
        assertThat(listOfNotNull(first.tryHold(), second.tryHold())).hasSize(1)
    }

    /** The same on the object of the present holder, which stays the holder. */
    @Example
    fun holderRenewsOverALateWriteOfAnEarlierEra() = StoreClientEnvironment.test {
        val stores = client() to client()
        val (first, second) = settledCandidates(stores.first, stores.second)
        first.tryHold()!!
        standIn.takeSnapshot()
        advance(STEP_MS)
        first.tryHold()!!
        var late: () -> StoreStandIn.Reply = { error("no write was sent") }
        standIn.intercept = { _, execute ->
            late = execute
            standIn.intercept = { _, next -> next() }
            null
        }
        first.release()
        standIn.restore()
        stores.second.list(ObjectKinds.TARGETS)
        second.tryHold()
        advance(StoreClientEnvironment.DURATION_MS)
        val held = second.tryHold()!!
        assertThat(late().status).describedAs("revision that was issued again").isEqualTo(200)
        assertThat(first.tryHold()).isNull()
        advance(STEP_MS)
        assertThat(second.tryHold()).isSameAs(held)
        assertThat(standIn.spec(ObjectKinds.LEASES, "svc"))
            .contains(held.token.toString())
            .doesNotContain("\"holder\":\"\"")
    }

    @Example
    fun withoutErasAFreeLeaseIsTakenAtOnce() = StoreClientEnvironment.test {
        standIn.era = null
        val held = candidate().tryHold()!!
        assertThat(held.token).isEqualTo(FencingToken(1))
        assertThat(held.isValid(clock.nowMs())).isTrue()
    }

    /** Two candidates that have known the era for the duration, so that they may take at once. */
    private suspend fun StoreClientEnvironment.settledCandidates(
        firstStore: FleetStore = client(),
        secondStore: FleetStore = client()
    ): Pair<StoreLease, StoreLease> {
        firstStore.list(ObjectKinds.TARGETS)
        secondStore.list(ObjectKinds.TARGETS)
        advance(StoreClientEnvironment.DURATION_MS)
        return candidate(firstStore) to candidate(secondStore)
    }

    private fun StoreClientEnvironment.loseNextResponse(isExecuted: Boolean) {
        standIn.intercept = { _, execute ->
            standIn.intercept = { _, next -> next() }
            if (isExecuted) execute()
            null
        }
    }

    private companion object {
        /** The interval of renewals and of a candidate's reads. */
        const val STEP_MS = 1_000L
    }
}
