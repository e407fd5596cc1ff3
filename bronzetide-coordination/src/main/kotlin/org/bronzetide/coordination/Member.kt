package org.bronzetide.coordination

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A node as the membership view shows it. */
@Serializable
public data class Member(
    @CborLabel(1) val id: NodeId,
    /** The availability zone from the node's own settings. */
    @CborLabel(2) val zone: String,
    @CborLabel(3) val host: String,
    @CborLabel(4) val peerPort: Int,
    /** Grows with every start of the node, and when it refutes a suspicion. */
    @CborLabel(5) val incarnation: Long,
    @CborLabel(6) val state: MemberState,
    /** The processor cores that the node may use; duties go to nodes with many. */
    @CborLabel(7) val cpuCores: Double = 0.0
)

/** What the cluster believes of a member; a later state overrides an earlier one. */
@Serializable
public enum class MemberState {
    /** Answers probes. */
    ALIVE,

    /** Did not answer a probe; nothing new is placed on it. */
    SUSPECT,

    /** Stops as planned and takes no new role. */
    LEAVING,

    /** Did not refute a suspicion in time, or left. */
    DEAD
}
