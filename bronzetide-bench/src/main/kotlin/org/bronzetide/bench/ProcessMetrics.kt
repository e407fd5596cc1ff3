package org.bronzetide.bench

import java.lang.management.ManagementFactory

/** CPU time and heap use of the process that an experiment runs in. */
internal object ProcessMetrics {
    private const val COLLECTION_COUNT = 3

    /** The CPU time of the control threads of all nodes in this process, in nanoseconds. */
    fun controlCpuNanos(): Long {
        val threads = ManagementFactory.getThreadMXBean()
        return threads.getThreadInfo(threads.allThreadIds)
            .filter { it != null && it.threadName.startsWith("control") }
            .sumOf { threads.getThreadCpuTime(it.threadId).coerceAtLeast(0) }
    }

    /** The heap in use after garbage collections, in bytes. */
    fun usedHeapBytes(): Double {
        repeat(COLLECTION_COUNT) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }.toDouble()
    }
}
