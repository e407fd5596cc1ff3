package org.bronzetide.edge.memory

import kotlin.random.Random
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
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
}
