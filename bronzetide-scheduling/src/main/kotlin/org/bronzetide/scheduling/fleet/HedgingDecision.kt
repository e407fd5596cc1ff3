package org.bronzetide.scheduling.fleet

/** Whether a request that is due for a hedge is sent to a second target. */
public enum class HedgingDecision {
    SEND,

    /** The service has had its share of hedges. */
    SHARE_USED_UP,

    /** Requests of the service wait, or no other target has a free slot. */
    SERVICE_FULL,

    /** The service's budget for retries, which hedges draw from as well, is spent. */
    RETRY_BUDGET_SPENT
}
