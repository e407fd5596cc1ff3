package org.bronzetide.scheduling.fleet

import java.math.BigDecimal

/**
 * The share of a service's requests that may be sent a second time, in millionths: 20,000 is one in
 * fifty. 0 turns hedging off.
 */
@JvmInline
public value class HedgingShare private constructor(public val millionths: Int) {
    public companion object {
        /** No request is sent a second time. */
        public val OFF: HedgingShare = HedgingShare(0)

        private const val MILLION = 1_000_000L
        private val range = BigDecimal.ZERO..BigDecimal.ONE

        /**
         * Parses a decimal number from 0 to 1, rounded down to millionths; returns `null` if [text]
         * is none.
         */
        public fun parseOrNull(text: String): HedgingShare? {
            val share = text.toBigDecimalOrNull()?.takeIf { it in range } ?: return null
            return HedgingShare((share * MILLION.toBigDecimal()).toInt())
        }
    }
}
