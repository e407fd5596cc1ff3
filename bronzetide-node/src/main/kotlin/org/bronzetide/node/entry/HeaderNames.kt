package org.bronzetide.node.entry

/** The names of the non-standard headers of callers' requests and their responses. */
internal object HeaderNames {
    const val REQUEST_ID = "X-Request-Id"
    const val VERDICT = "X-Verdict"
    const val REASON = "X-Verdict-Reason"
    const val TIER = "X-Tier"
    const val DEADLINE_MS = "X-Deadline-Ms"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
}
