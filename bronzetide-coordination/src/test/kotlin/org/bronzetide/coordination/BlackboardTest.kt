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
            .check(ConcurrentBlackboard::class.java)
    }

    @Example
    fun `subscribers are notified of changes only`() {
        val blackboard = Blackboard()
        val received = ArrayList<Int>()
        blackboard.subscribe(COUNT) { received += it }
        listOf(0, 1, 1, 2).forEach { blackboard[COUNT] = it }
        check(received == listOf(1, 2)) { "$received" }
    }

    class ConcurrentBlackboard {
        private val blackboard = Blackboard()

        @Operation
        fun write(value: Int) {
            blackboard[COUNT] = value
        }

        @Operation
        fun read(): Int = blackboard[COUNT]
    }

    private companion object {
        val COUNT = Blackboard.Key("count", 0)
    }
}
