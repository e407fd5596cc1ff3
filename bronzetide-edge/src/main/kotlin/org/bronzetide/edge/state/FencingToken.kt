package org.bronzetide.edge.state

import org.bronzetide.platform.fleet.StoreEra

/**
 * Orders the holders of a lease: a later holder has a greater token, across eras of the store, too.
 *
 * The store's era is in the upper bits, because a restored snapshot holds an older token than the
 * last one that was in use. Without eras the tokens count from 1.
 */
@JvmInline
internal value class FencingToken(val value: Long) : Comparable<FencingToken> {
    /** The number of the era in which the token was taken, or 0 without eras. */
    val eraNumber: Long get() = value shr ERA_SHIFT

    /** The token of the next holder, which takes the lease in [era]. */
    fun next(era: StoreEra?): FencingToken =
        FencingToken(maxOf(value + 1, (era?.number ?: 0) shl ERA_SHIFT))

    override fun compareTo(other: FencingToken): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        /** The token before the first holder. */
        val none = FencingToken(0)

        /** A million holders in one era; an era of 43 bits still fits. */
        private const val ERA_SHIFT = 20
    }
}
