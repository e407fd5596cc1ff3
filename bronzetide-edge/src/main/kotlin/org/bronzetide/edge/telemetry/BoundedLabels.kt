package org.bronzetide.edge.telemetry

import java.util.concurrent.ConcurrentHashMap

/**
 * The values of one label of metrics that are made of text of callers or of the store. Values after
 * the first [maxCount] share the label `other`, and long ones are cut, which bounds the memory for
 * counters and the size of a scrape.
 */
internal class BoundedLabels(private val maxCount: Int) {
    private val known = ConcurrentHashMap.newKeySet<String>()

    /** Returns the label for [text], or `none` for `null`. */
    fun of(text: String?): String {
        val label = LogValues.label(text ?: return NONE)
        return if (label in known || tryAdd(label)) label else OTHER
    }

    @Synchronized
    private fun tryAdd(label: String): Boolean = known.size < maxCount && known.add(label)

    private companion object {
        const val NONE = "none"
        const val OTHER = "other"
    }
}
