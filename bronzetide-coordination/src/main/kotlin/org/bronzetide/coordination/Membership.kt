package org.bronzetide.coordination

import kotlin.random.Random
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Group membership and failure detection by the SWIM protocol.
 *
 * Each period a node probes a few members, and changes of the view are piggybacked on probes and
 * acknowledgements. The load of a node therefore does not grow with the size of the cluster.
 *
 * This is a state machine without I/O, driven by one thread. [tick] is called every
 * [Timing.periodMs] and returns the probes to send. Received probes and acknowledgements are passed
 * to [onProbe] and [onAck].
 *
 * Source: Das, Gupta, Motivala, "SWIM: scalable weakly-consistent infection-style process group
 * membership protocol", DSN 2002, with suspicion and incarnations. Indirect probes are left out: a
 * suspected node only gets no new roles, and can refute the suspicion through any node it reaches.
 */
public class Membership(
    self: Member,
    private val clock: MonotonicClock,
    private val random: Random,
    private val timing: Timing = Timing()
) {
    private val members = HashMap<NodeId, Member>()
    private val suspectSinceMs = HashMap<NodeId, Long>()
    private val deadSinceMs = HashMap<NodeId, Long>()

    /** How often each rumor has been sent, by the member that it is about. */
    private val rumors = HashMap<NodeId, Int>()
    private val unacknowledgedSinceMs = HashMap<NodeId, Long>()
    private val probeOrder = ArrayDeque<NodeId>()
    private var lastTickMs = clock.nowMs()

    /** This node, as announced to others. */
    public var self: Member = self
        private set

    /** Increases with every change of the view. */
    public var version: Long = 0
        private set

    init {
        members[self.id] = self
        rumors[self.id] = 0
    }

    /** Returns every known member, including this node, ordered by id. */
    public fun view(): List<Member> = members.values.sortedBy { it.id }

    /** Returns the member with [id], or `null` if it is unknown. */
    public fun find(id: NodeId): Member? = members[id]

    /** Returns the members that may get a role, which are those in state [MemberState.ALIVE]. */
    public fun eligible(): List<Member> = view().filter { it.state == MemberState.ALIVE }

    /** Adds members discovered outside the protocol. Members already known are left unchanged. */
    public fun learn(discovered: Collection<Member>) {
        discovered.filter { it.id !in members && it.id != self.id }.forEach { apply(it) }
    }

    /**
     * Runs one protocol period and returns the probes to send.
     *
     * Handles probes and suspicions that have timed out. An unacknowledged probe is sent again in
     * every period until its timeout. After a pause of this node itself, suspicions start anew and
     * unacknowledged probes are dropped, since the pause may be why acknowledgements are missing.
     */
    public fun tick(): List<OutgoingProbe> {
        val nowMs = clock.nowMs()
        val wasPaused = nowMs - lastTickMs > timing.periodMs * PAUSE_THRESHOLD_PERIODS
        lastTickMs = nowMs
        if (wasPaused) restartTimeouts(nowMs)
        expireProbes(nowMs)
        expireSuspicions(nowMs)
        removeExpiredDead(nowMs)
        return (unacknowledgedSinceMs.keys + nextToProbe()).map { id ->
            unacknowledgedSinceMs.putIfAbsent(id, nowMs)
            OutgoingProbe(id, probeWith(rumorsToSend()))
        }
    }

    /**
     * Handles a probe from a peer and returns the acknowledgement to send back.
     *
     * If the sender is known here in another state than it announces, the acknowledgement includes
     * that state, so that the sender can refute it. A sender that knows few of the members has just
     * started; the acknowledgement tells it the members, or some of them in a large cluster.
     */
    public fun onProbe(probe: Probe): Probe {
        val sender = probe.sender
        val knowsFew = probe.memberCount * KNOWS_FEW_FACTOR <= liveCount()
        apply(sender)
        probe.rumors.forEach { apply(it) }
        val view = members[sender.id]
        if (view != null && view.state != sender.state) rumors[sender.id] = 0
        return probeWith(
            rumorsToSend(sender.id) + if (knowsFew) membersForNewcomer() else emptyList()
        )
    }

    /** Returns the probe for an address at which a peer may run that is not known yet. */
    public fun probeOfUnknown(): Probe = probeWith(emptyList())

    private fun probeWith(rumors: List<Member>) = Probe(self, rumors, liveCount())

    private fun liveCount(): Int = members.values.count { it.state != MemberState.DEAD }

    private fun membersForNewcomer(): List<Member> =
        members.values.filter { it.state != MemberState.DEAD && it.id != self.id }
            .shuffled(random).take(MAX_MEMBERS_FOR_NEWCOMER)

    /** Handles the acknowledgement of a probe. */
    public fun onAck(ack: Probe) {
        unacknowledgedSinceMs.remove(ack.sender.id)
        onProbe(ack)
    }

    /**
     * Suspects [id] without waiting for a probe, for example after its connection was reset.
     *
     * A member that was leaving is declared dead.
     */
    public fun suspect(id: NodeId) {
        val member = members[id] ?: return
        when (member.state) {
            MemberState.ALIVE -> apply(member.copy(state = MemberState.SUSPECT))
            MemberState.LEAVING -> apply(member.copy(state = MemberState.DEAD))
            MemberState.SUSPECT, MemberState.DEAD -> Unit
        }
    }

    /** Declares [id] dead, for example because another process responds at its address. */
    public fun declareDead(id: NodeId) {
        members[id]?.let { apply(it.copy(state = MemberState.DEAD)) }
    }

    /** Announces that this node is shutting down as planned. */
    public fun leave() {
        self = self.copy(state = MemberState.LEAVING)
        replace(self)
    }

    private fun restartTimeouts(nowMs: Long) {
        unacknowledgedSinceMs.clear()
        suspectSinceMs.keys.forEach { suspectSinceMs[it] = nowMs }
    }

    private fun expireProbes(nowMs: Long) {
        val overdue = unacknowledgedSinceMs.filterValues { nowMs - it >= timing.ackTimeoutMs }.keys
        overdue.forEach {
            unacknowledgedSinceMs.remove(it)
            suspect(it)
        }
    }

    private fun removeExpiredDead(nowMs: Long) {
        val expired = deadSinceMs.filterValues {
            nowMs - it >= timing.deadRetentionMs
        }.keys.toList()
        expired.forEach {
            members.remove(it)
            deadSinceMs.remove(it)
            rumors.remove(it)
        }
    }

    private fun expireSuspicions(nowMs: Long) {
        val expired = suspectSinceMs.filterValues {
            nowMs - it >= timing.suspicionTimeoutMs
        }.keys.toList()
        expired.forEach { id -> members[id]?.let { apply(it.copy(state = MemberState.DEAD)) } }
    }

    private fun nextToProbe(): List<NodeId> {
        if (probeOrder.isEmpty()) {
            probeOrder += members.keys.filter { it != self.id }.shuffled(random)
        }
        val selected = ArrayList<NodeId>()
        repeat(minOf(timing.probesPerPeriod, probeOrder.size)) {
            selected += probeOrder.removeFirst()
        }
        // Dead members are probed occasionally, so that one declared dead by mistake can refute it.
        return selected.filter { members[it]?.state != MemberState.DEAD || random.nextInt(8) == 0 }
    }

    private fun rumorsToSend(extra: NodeId? = null): List<Member> {
        val chosen =
            rumors.entries.sortedBy { it.value }.take(MAX_RUMORS_PER_MESSAGE).map { it.key }
        chosen.forEach { id ->
            val sent = rumors.getValue(id) + 1
            if (sent >= MAX_RUMOR_TRANSMISSIONS) rumors.remove(id) else rumors[id] = sent
        }
        return (chosen + listOfNotNull(extra)).distinct().mapNotNull { members[it] }
    }

    private fun apply(update: Member) {
        if (update.id == self.id) return refute(update)
        val known = members[update.id]
        if (known == null || supersedes(update, known)) replace(update)
    }

    private fun refute(update: Member) {
        val isWrong = update.state != self.state && update.incarnation >= self.incarnation
        if (!isWrong) return
        self = self.copy(incarnation = update.incarnation + 1)
        replace(self)
    }

    private fun supersedes(update: Member, known: Member): Boolean = when {
        update.incarnation != known.incarnation -> update.incarnation > known.incarnation
        else -> update.state > known.state
    }

    private fun replace(member: Member) {
        members[member.id] = member
        rumors[member.id] = 0
        version++
        trackSince(suspectSinceMs, member, MemberState.SUSPECT)
        trackSince(deadSinceMs, member, MemberState.DEAD)
    }

    private fun trackSince(since: HashMap<NodeId, Long>, member: Member, state: MemberState) {
        if (member.state == state) since[member.id] = clock.nowMs() else since.remove(member.id)
    }

    /** The timing of failure detection. Periods and timeouts are in milliseconds. */
    public data class Timing(
        val periodMs: Long = 500,
        val ackTimeoutMs: Long = 1_500,
        val suspicionTimeoutMs: Long = 8_000,
        val probesPerPeriod: Int = 2,
        /** How long a dead member is retained, so that a stale rumor cannot add it as alive. */
        val deadRetentionMs: Long = 300_000
    )

    /** A probe or its acknowledgement, with recent changes of the sender's view. */
    @Serializable
    public data class Probe(
        @CborLabel(1) val sender: Member,
        @CborLabel(2) val rumors: List<Member>,
        /** How many members the sender knows that are not dead, itself included. */
        @CborLabel(3) val memberCount: Int = 1
    )

    /** A [probe] to be sent to the node [to]. */
    public data class OutgoingProbe(val to: NodeId, val probe: Probe)

    private companion object {
        const val MAX_RUMORS_PER_MESSAGE = 6

        /** A member that knows fewer than this part of the members is told all of them. */
        const val KNOWS_FEW_FACTOR = 2

        /** Some 10 KB; in a larger cluster the newcomer learns the others from rumors. */
        const val MAX_MEMBERS_FOR_NEWCOMER = 100
        const val MAX_RUMOR_TRANSMISSIONS = 12
        const val PAUSE_THRESHOLD_PERIODS = 3
    }
}
