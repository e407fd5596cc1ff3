package org.bronzetide.coordination

import net.jqwik.api.Example

class SamplesTest {
    @Example
    fun samplesRun() = blackboardSample()
}

internal fun blackboardSample() {
    val temperature = Blackboard.Key("temperature", initial = 20)
    val board = Blackboard()
    board.subscribe(temperature) { println("now $it degrees") }
    board[temperature] = 21
    check(board[temperature] == 21)
}
