package org.bronzetide.edge.memory

import kotlin.random.Random
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.assertj.core.api.Assertions.assertThat

class ByteCreditsTest {
    @Example
    fun waitsInOrderAndGivesUpInTime() = runBlocking {
        val credits = ByteCredits(100)
        val first = credits.acquire(80, 10)!!
        val order = ArrayList<Int>()
        val large = launch { credits.acquire(90, 1_000)?.also { order += 1 }?.close() }
        yield()
        val small = launch { credits.acquire(10, 1_000)?.also { order += 2 }?.close() }
        yield()
        assertThat(credits.acquire(5, 20)).isNull()
        assertThat(order).isEmpty()
        first.close()
        large.join()
        small.join()
        assertThat(order).containsExactly(1, 2)
        assertThat(credits.heldBytes).isZero()
    }

    /** Guards against small bodies that wait in vain behind a large one that has given up. */
    @Example
    fun thoseBehindALargeOneThatGaveUpAreGrantedAtOnce() = runBlocking {
        val credits = ByteCredits(100)
        val first = credits.acquire(50, 10)!!
        val large = launch { assertThat(credits.acquire(90, 20)).isNull() }
        yield()
        val small = async { credits.acquire(10, 2_000) }
        large.join()
        assertThat(withTimeoutOrNull(1_000) { small.await() }).isNotNull()
        first.close()
    }

    @Example
    fun moreThanAllIsGrantedAlone() = runBlocking {
        val credits = ByteCredits(100)
        val grant = credits.acquire(5_000, 10)!!
        assertThat(credits.acquire(1, 10)).isNull()
        grant.shrinkTo(40)
        assertThat(credits.acquire(60, 10)).isNotNull()
        Unit
    }

    /** Guards against large bodies that wait in vain while small ones pass, in a flood. */
    @Property(tries = 5)
    fun largeBodiesOfAFloodAreServedAsOftenAsSmallOnes(@ForAll seed: Long) = runTest {
        val random = Random(seed)
        val credits = ByteCredits(10 * LARGEST_BYTES)
        val isServed = List(3_000) { index ->
            val bytes = random.nextLong(SMALLEST_BYTES, LARGEST_BYTES)
            async {
                delay(2L * index)
                bytes to (credits.acquire(bytes, maxWaitMs = 80)?.use { delay(80) } != null)
            }
        }.awaitAll().sortedBy { it.first }.map { it.second }
        val share = isServed.shareServed()
        assertThat(share).isBetween(0.4, 0.7)
        assertThat(isServed.takeLast(isServed.size / 10).shareServed()).isGreaterThan(0.8 * share)
    }

    private fun List<Boolean>.shareServed() = count { it }.toDouble() / size

    @Property(tries = 50)
    fun neverGrantsTooMuchAndLosesNothing(@ForAll seed: Long) = runBlocking {
        val random = Random(seed)
        val credits = ByteCredits(1_000)
        val jobs = List(60) {
            launch {
                delay(random.nextLong(20))
                credits.acquire(random.nextLong(1, 1_500), random.nextLong(1, 30))?.use {
                    assertThat(credits.heldBytes).isLessThanOrEqualTo(1_000)
                    delay(random.nextLong(5))
                }
            }
        }
        jobs.filter { random.nextInt(4) == 0 }.forEach { it.cancelAndJoin() }
        jobs.forEach { it.join() }
        assertThat(credits.heldBytes).isZero()
    }

    private companion object {
        const val SMALLEST_BYTES = 4_096L
        const val LARGEST_BYTES = 131_072L
    }
}
