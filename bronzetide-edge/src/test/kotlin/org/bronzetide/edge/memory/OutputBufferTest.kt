package org.bronzetide.edge.memory

import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.memory.OutputBuffer.Companion.CHUNK_OVERHEAD_BYTES
import org.bronzetide.edge.memory.OutputBuffer.Limit

class OutputBufferTest {
    private val buffer = OutputBuffer(OutputBuffer.Limits(200, 400, 600))
    private val cuts = ArrayList<Pair<String, OutputBuffer.Cut>>()

    /** Guards against events that a caller gets twice, not at all or in another order. */
    @Example
    fun chunksAreTakenInOrderAndCountUntilTheyAreFlushed() {
        val connection = open("a", "a1")
        connection.holdInSocket(50)
        connection.add(ByteArray(10) { 1 })
        connection.add(ByteArray(20) { 2 })
        assertThat(buffer.heldBytes).isEqualTo(50 + 30 + 2 * CHUNK_OVERHEAD_BYTES)
        connection.onFlushed()
        assertThat(connection.takeNext()).isEqualTo(ByteArray(10) { 1 })
        assertThat(buffer.heldBytes).isEqualTo(30 + 2 * CHUNK_OVERHEAD_BYTES)
        connection.onFlushed()
        assertThat(connection.takeNext()).isEqualTo(ByteArray(20) { 2 })
        connection.onFlushed()
        assertThat(connection.takeNext()).isNull()
        assertThat(buffer.heldBytes).isZero()
        connection.close()
        assertThat(buffer.connectionCount).isZero()
    }

    /** Guards against a stream that ends although an event larger than the limit would be taken. */
    @Example
    fun connectionAtItsLimitHasNoRoomAndAnEmptyOneHasRoomForAnyChunk() {
        val connection = open("a", "a1")
        assertThat(connection.hasRoom(ByteArray(1_000))).isTrue()
        connection.holdInSocket(150)
        assertThat(connection.hasRoom(ByteArray(18))).isTrue()
        assertThat(connection.hasRoom(ByteArray(19))).isFalse()
        assertThat(cuts).isEmpty()
        connection.cutAtLimit()
        assertThat(cuts.single()).isEqualTo(
            "a1" to OutputBuffer.Cut(Limit.CONNECTION, 150, 150, 150)
        )
        assertThat(buffer.heldBytes).isZero()
    }

    /** Guards against an account with many slow callers that takes the memory of the others. */
    @Example
    fun accountAtItsLimitLosesItsOwnLargestConnection() {
        val other = open("b", "b1").apply { holdInSocket(190) }
        val first = open("a", "a1").apply { holdInSocket(100) }
        open("a", "a2").holdInSocket(180)
        first.holdInSocket(60)
        open("a", "a3").holdInSocket(70)
        assertThat(cuts.single()).isEqualTo("a2" to OutputBuffer.Cut(Limit.ACCOUNT, 180, 410, 600))
        assertThat(other.heldBytes).isEqualTo(190)
        assertThat(buffer.heldBytes).isEqualTo(420)
    }

    /** Guards against a cut of whoever comes last, in place of who holds the most. */
    @Example
    fun totalCutsTheLargestConnectionOfTheLargestAccount() {
        open("a", "a1").holdInSocket(200)
        listOf("b1", "b2", "b3").forEach { open("b", it).holdInSocket(100) }
        open("c", "c1").holdInSocket(101)
        // Among the equal connections of the account it is the first one.
        assertThat(cuts.single()).isEqualTo("b1" to OutputBuffer.Cut(Limit.TOTAL, 100, 300, 601))
    }

    /** Guards against a chunk that is counted for a connection after its cut. */
    @Example
    fun connectionThatIsCutForItsOwnChunkHoldsNothingAnyMore() {
        val connection = open(null, "x")
        connection.holdInSocket(150)
        connection.add(ByteArray(300))
        assertThat(cuts.single().second.limit).isEqualTo(Limit.ACCOUNT)
        connection.add(ByteArray(10))
        connection.onFlushed()
        connection.close()
        assertThat(connection.takeNext()).isNull()
        assertThat(buffer.heldBytes).isZero()
        assertThat(cuts).hasSize(1)
    }

    @Property(tries = 200)
    fun limitsHoldAndAllIsGivenBack(@ForAll seed: Long) {
        val random = Random(seed)
        val connections = ArrayList<OutputBuffer.Connection>()
        repeat(300) { step ->
            when (random.nextInt(4)) {
                0 -> connections += open("${random.nextInt(4)}", "$step")
                1 -> connections.randomOrNull(random)?.add(ByteArray(random.nextInt(150)))
                2 -> connections.randomOrNull(random)?.run { takeNext() }
                else -> connections.randomOrNull(random)?.onFlushed()
            }
            assertThat(buffer.heldBytes).isBetween(0, 600)
            assertThat(buffer.heldBytes).isEqualTo(connections.sumOf { it.heldBytes })
        }
        connections.forEach { it.close() }
        assertThat(buffer.heldBytes).isZero()
        assertThat(buffer.connectionCount).isZero()
    }

    @Example
    fun limitsFollowTheHeap() {
        // The largest event, 262,144 bytes, has to fit.
        val connection = OutputBuffer.ofHeap(64L shl 20).open("a") {}
        connection.holdInSocket(1)
        assertThat(connection.hasRoom(ByteArray(262_144))).isTrue()
        assertThat(connection.hasRoom(ByteArray(400_000))).isFalse()
    }

    private fun open(account: String?, name: String) = buffer.open(account) { cuts += name to it }
}
