package org.bronzetide.edge.entry

/** What a request takes from its account's quota. */
internal class QuotaCharge(
    val units: Long,
    val requestId: String?,
    /** 0 for the account's most urgent requests, up to 1 for its least urgent ones. */
    val priorityPosition: Double = 0.0,
    /** The longest time after which a refused caller would still return, in milliseconds. */
    val maxRetryAfterMs: Long = Long.MAX_VALUE
)
