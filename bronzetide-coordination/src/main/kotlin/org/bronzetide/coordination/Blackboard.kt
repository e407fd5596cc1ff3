package org.bronzetide.coordination

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Typed values that controllers share: one thread writes, any thread reads the latest value.
 *
 * @sample org.bronzetide.coordination.blackboardSample
 */
public class Blackboard {
    private val values = ConcurrentHashMap<Key<*>, Any>()
    private val listeners = ConcurrentHashMap<Key<*>, CopyOnWriteArrayList<(Any) -> Unit>>()

    /** The latest value of [key], or its initial value if none was written. */
    @Suppress("UNCHECKED_CAST")
    public operator fun <T : Any> get(key: Key<T>): T = (values[key] ?: key.initial) as T

    /** Writes [value] and tells the subscribers of [key], if the value changed. */
    public operator fun <T : Any> set(key: Key<T>, value: T) {
        val previous = values.put(key, value) ?: key.initial
        if (previous != value) listeners[key]?.forEach { it(value) }
    }

    /** Calls [listener] on the writing thread with each changed value of [key]. */
    @Suppress("UNCHECKED_CAST")
    public fun <T : Any> subscribe(key: Key<T>, listener: (T) -> Unit) {
        listeners.computeIfAbsent(key) { CopyOnWriteArrayList() }.add(listener as (Any) -> Unit)
    }

    /** Names a value of type [T]. Two keys are the same only if they are the same object. */
    public class Key<T : Any>(
        /** The name shown in diagnostics. */
        public val name: String,
        internal val initial: T
    ) {
        override fun toString(): String = name
    }
}
