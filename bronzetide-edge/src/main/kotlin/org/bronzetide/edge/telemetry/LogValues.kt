package org.bronzetide.edge.telemetry

/**
 * Bounds the values of fields of log lines, and labels of metrics, whatever text they are made of.
 * What was cut ends with a mark that tells the whole size.
 */
internal object LogValues {
    /** The longest text in a field; stacks of failures may be longer. */
    const val MAX_TEXT_CHARS = 1_000

    /** The longest text in a list of a field. */
    const val MAX_ENTRY_CHARS = 300
    const val MAX_ENTRIES = 30
    const val MAX_LABEL_CHARS = 100

    /** The longest stack of a failure: some forty frames; that of an endless recursion has more. */
    const val MAX_STACK_CHARS = 4_000

    /** Returns [value] as it is to be logged: a number, a flag, a text or a list of texts. */
    fun bounded(value: Any): Any = when (value) {
        is Number, is Boolean -> value

        is Stack -> cut(value.text, MAX_STACK_CHARS)

        is Map<*, *> -> value.entries.take(MAX_ENTRIES).associate {
            cut(it.key.toString(), MAX_ENTRY_CHARS) to entry(it.value)
        } + if (value.size > MAX_ENTRIES) mapOf(rest(value.size) to "") else emptyMap()

        is Collection<*> -> value.take(MAX_ENTRIES).map(::entry) +
            listOfNotNull(rest(value.size).takeIf { value.size > MAX_ENTRIES })

        is Array<*> -> bounded(value.asList())

        else -> cut(value.toString(), MAX_TEXT_CHARS)
    }

    /** Returns [text] as a label of a metric, of [MAX_LABEL_CHARS] at most. */
    fun label(text: String): String = cut(text, MAX_LABEL_CHARS)

    /** The stack of a failure, which may be longer than other texts. */
    class Stack(val text: String)

    private fun entry(value: Any?): Any? = when (value) {
        null, is Number, is Boolean -> value
        else -> cut(value.toString(), MAX_ENTRY_CHARS)
    }

    private fun rest(size: Int) = "... ${size - MAX_ENTRIES} more"

    private fun cut(text: String, maxChars: Int): String {
        if (text.length <= maxChars) return text
        val mark = "... cut, ${text.length} chars"
        val end = maxChars - mark.length
        // A part of a surrogate pair is no text.
        val isPairSplit = text[end - 1].isHighSurrogate()
        return text.substring(0, if (isPairSplit) end - 1 else end) + mark
    }
}
