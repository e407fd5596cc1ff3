package org.bronzetide.coordination

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Typed values shared between controllers.
 *
 * One thread writes. Any thread may read, and gets the value written last.
 *
 * @sample org.bronzetide.coordination.blackboardSample
 */
public class Blackboard {
    private val values = ConcurrentHashMap<Key<*>, Any>()
    private val listeners = ConcurrentHashMap<Key<*>, CopyOnWriteArrayList<(Any) -> Unit>>()

    /** Returns the latest value of [key], or its initial value if none has been written. */
    @Suppress("UNCHECKED_CAST")
    public operator fun <T : Any> get(key: Key<T>): T = (values[key] ?: key.initial) as T

    /** Sets [key] to [value] and notifies the subscribers of [key] if the value changed. */
    public operator fun <T : Any> set(key: Key<T>, value: T) {
        val previous = values.put(key, value) ?: key.initial
        if (previous != value) listeners[key]?.forEach { it(value) }
    }

    /** Calls [listener] on the writing thread with the new value after each change of [key]. */
    @Suppress("UNCHECKED_CAST")
    public fun <T : Any> subscribe(key: Key<T>, listener: (T) -> Unit) {
        listeners.computeIfAbsent(key) { CopyOnWriteArrayList() }.add(listener as (Any) -> Unit)
    }

    /** Identifies a value of type [T]. Keys are compared by identity. */
    public class Key<T : Any>(
        /** The name used in diagnostics. */
        public val name: String,
        internal val initial: T
    ) {
        override fun toString(): String = name
    }
}
