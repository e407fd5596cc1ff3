package org.bronzetide.edge.forwarding

import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

/**
 * The wait for the first event of a run that is hedged after 50 ms, and counts as silent after 400.
 * Guards against requests that are lost with their hedge, and against runs that go on in vain.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class HedgedWaitTest {
    private val ends = ArrayList<String>()
    private var firstRun: RunOutcome? = null
    private var hedgedAtMs = ArrayList<Long>()
    private var replacedAtMs = ArrayList<Long>()

    @Example
    fun hedgeThatRespondsFirstTakesOverAndTheFirstRunIsCancelled() = runTest {
        val result = await(firstMs = null, hedgeMs = 30) { true }
        assertThat(result.exceptionOrNull()).isInstanceOfSatisfying(
            TargetStalledException::class.java
        ) { assertThat(it.isHedged).isTrue() }
        assertThat(currentTime).isEqualTo(80)
        assertThat(ends).containsExactly("first cancelled")
        assertThat(firstRun).isEqualTo(RunOutcome.CANCELLED)
    }

    @Example
    fun hedgeIsCancelledWhenTheFirstRunResponds() = runTest {
        assertThat(await(firstMs = 70, hedgeMs = null) { true }.getOrThrow()).isEqualTo("first")
        assertThat(currentTime).isEqualTo(70)
        assertThat(ends).containsExactly("hedge cancelled")
        assertThat(firstRun).isEqualTo(RunOutcome.RESPONDED)
    }

    /** A hedge that fails, is refused, has no slot or whose target leaves returns `false`. */
    @Example
    fun firstRunContinuesWhenItsHedgeFailsAndIsNotHedgedAgain() = runTest {
        assertThat(await(firstMs = 300, hedgeMs = 30) { false }.getOrThrow()).isEqualTo("first")
        assertThat(hedgedAtMs).containsExactly(50)
        assertThat(firstRun).isEqualTo(RunOutcome.CONTINUED)
        assertThat(ends).isEmpty()
    }

    @Example
    fun hedgeThatFailsDoesNotDelayTheReplacementOfASilentTargetByATimeout() = runTest {
        await(firstMs = 1_000, hedgeMs = 30) { false }.getOrThrow()
        assertThat(replacedAtMs).containsExactly(430, 830)
    }

    @Example
    fun hedgeTakesOverWhenTheFirstRunBreaksOffMeanwhile() = runTest {
        val result = await(firstMs = 60, hedgeMs = 30, failure = IOException("reset")) { true }
        assertThat(result.exceptionOrNull()).isInstanceOf(TargetStalledException::class.java)
            .hasMessage("reset")
        assertThat(firstRun).isEqualTo(RunOutcome.FAILED)
    }

    @Example
    fun failureOfBothRunsIsThatOfTheFirst() = runTest {
        val result = await(firstMs = 60, hedgeMs = 30, failure = IOException("reset")) { false }
        assertThat(result.exceptionOrNull()).hasMessage("reset")
            .isNotInstanceOf(TargetStalledException::class.java)
        assertThat(firstRun).isEqualTo(RunOutcome.FAILED)
    }

    @Example
    fun bothRunsAreCancelledWhenTheCallerDisconnects() = runTest {
        val request = launch { await(firstMs = null, hedgeMs = null) { true } }
        delay(100)
        request.cancel()
        request.join()
        assertThat(ends).containsExactlyInAnyOrder("first cancelled", "hedge cancelled")
        assertThat(firstRun).isEqualTo(RunOutcome.CANCELLED)
    }

    @Example
    fun waitsForLaterEventsAreNotHedged() = runTest {
        policy(hedgeMs = 1) { true }.await(isFirst = false) { delay(300) }
        assertThat(hedgedAtMs).isEmpty()
    }

    /** Runs that take `null` ms respond never. */
    private suspend fun TestScope.await(
        firstMs: Long?,
        hedgeMs: Long?,
        failure: IOException? = null,
        hasHedgeResponded: () -> Boolean
    ): Result<String> = try {
        Result.success(
            policy(hedgeMs, hasHedgeResponded).await(isFirst = true) {
                run("first", firstMs)
                failure?.let { throw it }
                "first"
            }
        )
    } catch (cause: IOException) {
        Result.failure(cause)
    }

    private fun TestScope.policy(hedgeMs: Long?, hasHedgeResponded: () -> Boolean) =
        StallPolicy.FailOver(
            400,
            400,
            object : StallPolicy.Hedge {
                override fun dueInMs(): Long = 50

                override suspend fun run(): Boolean {
                    hedgedAtMs += currentTime
                    run("hedge", hedgeMs)
                    return hasHedgeResponded()
                }

                override fun onFirstRun(outcome: RunOutcome) {
                    firstRun = outcome
                }
            }
        ) {
            replacedAtMs += currentTime
            false
        }

    private suspend fun run(name: String, tookMs: Long?) = try {
        if (tookMs == null) awaitCancellation() else delay(tookMs)
    } catch (cause: CancellationException) {
        ends += "$name cancelled"
        throw cause
    }
}
