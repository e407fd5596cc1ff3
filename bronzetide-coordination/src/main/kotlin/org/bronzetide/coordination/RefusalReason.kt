package org.bronzetide.coordination

/** Why a request was refused before anything was handed to a target. */
public enum class RefusalReason(
    /** The text used in responses. */
    public val label: String
) {
    /** The request itself is malformed. */
    INVALID("invalid request"),

    /** The bearer key is missing or unknown. */
    UNAUTHENTICATED("unknown key"),

    /** The caller may not use this pool or tier. */
    FORBIDDEN("not allowed"),

    /** No pool serves this model or service. */
    UNKNOWN_POOL("no such pool"),

    /** A limit on the caller's rate, concurrency or tokens is reached. */
    OVER_LIMIT("over limit"),

    /** The queue is full and holds no request of a lower tier to shed instead. */
    SHED("shed"),

    /** The response could not be complete before the deadline. */
    DEADLINE("deadline cannot be met"),

    /** No target could be reached, or the retry budget is exhausted. */
    NO_TARGET("no target available"),

    /** The caller cancelled the request before it was dispatched. */
    CANCELLED("cancelled by caller"),

    /** The node is shutting down or not ready. */
    UNAVAILABLE("node unavailable"),

    /** The owner of the idempotency key cannot be reached. */
    KEY_AUTHORITY("idempotency authority unavailable"),

    /** The idempotency key was used for a different request. */
    KEY_REUSED("idempotency key used with another request")
}
