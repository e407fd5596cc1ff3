package org.bronzetide.coordination

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A node as seen by the membership protocol. */
@Serializable
public data class Member(
    @CborLabel(1) val id: NodeId,
    /** The availability zone, from the node's own settings. */
    @CborLabel(2) val zone: String,
    @CborLabel(3) val host: String,
    @CborLabel(4) val peerPort: Int,
    /** 0 at the start of the process; increases whenever it refutes a suspicion. */
    @CborLabel(5) val incarnation: Long,
    @CborLabel(6) val state: MemberState,
    /** The processor cores available to the node. Nodes with many are preferred for roles. */
    @CborLabel(7) val cpuCores: Double = 0.0
)

/**
 * The observed state of a member.
 *
 * Of two states of one incarnation, the one declared later here takes precedence.
 */
@Serializable
public enum class MemberState {
    /** Acknowledges probes. */
    ALIVE,

    /** Did not acknowledge a probe in time. It gets no new role. */
    SUSPECT,

    /** Is shutting down as planned. It gets no new role. */
    LEAVING,

    /** Did not refute a suspicion in time, or has left. */
    DEAD
}
