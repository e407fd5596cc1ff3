package org.bronzetide.coordination

import net.jqwik.api.Example
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation

class BlackboardTest {
    @Example
    fun `reads and writes are linearizable`() {
        ModelCheckingOptions()
            .iterations(20)
            .invocationsPerIteration(200)
            .threads(2)
            .actorsPerThread(3)
            .check(ConcurrentBoard::class.java)
    }

    @Example
    fun `subscribers hear of changes only`() {
        val board = Blackboard()
        val heard = ArrayList<Int>()
        board.subscribe(COUNT) { heard += it }
        listOf(0, 1, 1, 2).forEach { board[COUNT] = it }
        check(heard == listOf(1, 2)) { "$heard" }
    }

    class ConcurrentBoard {
        private val board = Blackboard()

        @Operation
        fun write(value: Int) {
            board[COUNT] = value
        }

        @Operation
        fun read(): Int = board[COUNT]
    }

    private companion object {
        val COUNT = Blackboard.Key("count", 0)
    }
}
