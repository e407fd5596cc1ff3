package org.bronzetide.node.operator

import kotlinx.serialization.Serializable

/** The status of a node, as shown to operators. */
@Serializable
data class NodeStatus(
    val node: String,
    val zone: String,
    val isReady: Boolean,
    val configurationVersion: Long,
    val hostListRevision: Long,
    val ownershipVersion: Long,
    /** The number of requests in progress. */
    val requestsInside: Int,
    /** The number of ledger lines that are not written to the store yet. */
    val ledgerBuffered: Int,
    /** The number of idempotency keys whose records the node holds. */
    val keysRemembered: Int,
    val pools: List<PoolStatus>,
    val members: List<MemberStatus>,
    val recentRefusals: List<RecentRefusal>
)

/** A pool shard whose arbiter runs on the node. */
@Serializable
data class PoolStatus(
    val pool: String,
    val shard: Int,
    val running: Int,
    /** The number of queued requests by tier, the most urgent tier first. */
    val queuedByTier: List<Int>,
    val targets: List<TargetStatus>
)

/** A target, as its arbiter last observed it. */
@Serializable
data class TargetStatus(
    val target: String,
    val inFlight: Int,
    /** The number of requests that the target may run at the same time. */
    val limit: Int,
    val isEjected: Boolean,
    val isLeaving: Boolean
)

/** A member of the cluster, as the node last observed it. */
@Serializable
data class MemberStatus(val node: String, val zone: String, val state: String)

/** The number of recent refusals for a reason. */
@Serializable
data class RecentRefusal(val reason: String, val count: Int)

/** The status of every node that responded, and the names of those that did not. */
@Serializable
data class ClusterStatus(val nodes: List<NodeStatus>, val silentNodes: List<String>)
