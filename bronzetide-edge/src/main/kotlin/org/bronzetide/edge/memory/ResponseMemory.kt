package org.bronzetide.edge.memory

/**
 * The memory of the responses in progress: of [bodies] that are not streamed, of unfinished
 * [events] of streams, and of the [output] that slow callers have not taken. Confined to one
 * thread.
 */
internal class ResponseMemory(
    val bodies: BodyBudget,
    val events: ByteCredits,
    val output: OutputBuffer
) {
    companion object {
        private const val EVENTS_SHARE = 0.08

        /** Returns the memory for a process whose heap may grow to [heapBytes]. */
        fun ofHeap(heapBytes: Long = Runtime.getRuntime().maxMemory()): ResponseMemory =
            ResponseMemory(
                BodyBudget.ofResponses(heapBytes),
                ByteCredits((heapBytes * EVENTS_SHARE).toLong()),
                OutputBuffer.ofHeap(heapBytes)
            )
    }
}
