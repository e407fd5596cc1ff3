package org.bronzetide.coordination

import kotlin.random.Random
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Tracks which nodes are alive by probing one of them at a time and spreading what is found on the
 * probes themselves, so that a node's load does not grow with the size of the cluster.
 *
 * The state machine does no I/O and is driven by one thread: [tick] is called every
 * [Timing.periodMs] and returns probes to send; received ones go to [onProbe] and [onAck].
 *
 * Source: Das, Gupta, Motivala, "SWIM: scalable weakly-consistent infection-style process group
 * membership protocol", DSN 2002, with suspicion and incarnations. Indirect probes are left out: a
 * suspect is only routed around, and refutes the suspicion through any node that it can reach.
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
    private val rumors = HashMap<NodeId, Int>()
    private val pending = HashMap<NodeId, Long>()
    private val probeOrder = ArrayDeque<NodeId>()
    private var lastTickMs = clock.nowMs()

    /** This node as it announces itself. */
    public var self: Member = self
        private set

    /** Grows with every change of the view. */
    public var version: Long = 0
        private set

    init {
        members[self.id] = self
        rumors[self.id] = 0
    }

    /** Every known member, this node included. */
    public fun view(): List<Member> = members.values.sortedBy { it.id }

    /** The member [id], or `null` if it is not known. */
    public fun find(id: NodeId): Member? = members[id]

    /** The members that may be given a role: alive, neither suspected nor leaving. */
    public fun eligible(): List<Member> = view().filter { it.state == MemberState.ALIVE }

    /** Adds members learnt from elsewhere, such as the platform's host list. */
    public fun learn(found: Collection<Member>) {
        found.filter { it.id !in members && it.id != self.id }.forEach { apply(it) }
    }

    /**
     * Starts one round: times out old probes, ages suspicions, and returns the probes to send.
     *
     * A probe that is not acknowledged is repeated every round until its time is up.
     */
    public fun tick(): List<OutgoingProbe> {
        val nowMs = clock.nowMs()
        val wasPaused = nowMs - lastTickMs > timing.periodMs * PAUSE_PERIODS
        lastTickMs = nowMs
        if (wasPaused) forgiveOwnPause(nowMs)
        expireProbes(nowMs)
        expireSuspicions(nowMs)
        forgetDead(nowMs)
        return (pending.keys + nextTargets()).map { target ->
            pending.putIfAbsent(target, nowMs)
            OutgoingProbe(target, Probe(self, rumorsToSend()))
        }
    }

    /** Takes a probe from a peer and returns the acknowledgement to send back. */
    public fun onProbe(probe: Probe): Probe {
        val sender = probe.sender
        apply(sender)
        probe.rumors.forEach { apply(it) }
        val view = members[sender.id]
        if (view != null && view.state != sender.state) rumors[sender.id] = 0
        return Probe(self, rumorsToSend(sender.id))
    }

    /** Takes the acknowledgement of a probe. */
    public fun onAck(ack: Probe) {
        pending.remove(ack.sender.id)
        onProbe(ack)
    }

    /** Suspects [id] at once, as when its connection was reset; a leaving member has then left. */
    public fun suspect(id: NodeId) {
        val member = members[id] ?: return
        when (member.state) {
            MemberState.ALIVE -> apply(member.copy(state = MemberState.SUSPECT))
            MemberState.LEAVING -> apply(member.copy(state = MemberState.DEAD))
            MemberState.SUSPECT, MemberState.DEAD -> Unit
        }
    }

    /** Declares [id] dead at once, as when another process answers at its address. */
    public fun declareDead(id: NodeId) {
        members[id]?.let { apply(it.copy(state = MemberState.DEAD)) }
    }

    /** Announces that this node stops as planned. */
    public fun leave() {
        self = self.copy(state = MemberState.LEAVING)
        replace(self)
    }

    private fun forgiveOwnPause(nowMs: Long) {
        pending.clear()
        suspectSinceMs.keys.forEach { suspectSinceMs[it] = nowMs }
    }

    private fun expireProbes(nowMs: Long) {
        val late = pending.filterValues { nowMs - it >= timing.ackTimeoutMs }.keys
        late.forEach {
            pending.remove(it)
            suspect(it)
        }
    }

    private fun forgetDead(nowMs: Long) {
        val forgotten = deadSinceMs.filterValues {
            nowMs - it >= timing.deadRetentionMs
        }.keys.toList()
        forgotten.forEach {
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

    private fun nextTargets(): List<NodeId> {
        if (probeOrder.isEmpty()) {
            probeOrder += members.keys.filter { it != self.id }.shuffled(random)
        }
        val targets = ArrayList<NodeId>()
        repeat(minOf(timing.probesPerPeriod, probeOrder.size)) {
            targets += probeOrder.removeFirst()
        }
        return targets.filter { members[it]?.state != MemberState.DEAD || random.nextInt(8) == 0 }
    }

    private fun rumorsToSend(extra: NodeId? = null): List<Member> {
        val chosen = rumors.entries.sortedBy { it.value }.take(RUMORS_PER_MESSAGE).map { it.key }
        chosen.forEach { id ->
            val sent = rumors.getValue(id) + 1
            if (sent >= RUMOR_REPEATS) rumors.remove(id) else rumors[id] = sent
        }
        return (chosen + listOfNotNull(extra)).distinct().mapNotNull { members[it] }
    }

    private fun apply(found: Member) {
        if (found.id == self.id) return refute(found)
        val known = members[found.id]
        if (known == null || supersedes(found, known)) replace(found)
    }

    private fun refute(found: Member) {
        val wrong = found.state != self.state && found.incarnation >= self.incarnation
        if (!wrong) return
        self = self.copy(incarnation = found.incarnation + 1)
        replace(self)
    }

    private fun supersedes(found: Member, known: Member): Boolean = when {
        found.incarnation != known.incarnation -> found.incarnation > known.incarnation
        else -> found.state > known.state
    }

    private fun replace(member: Member) {
        members[member.id] = member
        rumors[member.id] = 0
        version++
        track(suspectSinceMs, member, MemberState.SUSPECT)
        track(deadSinceMs, member, MemberState.DEAD)
    }

    private fun track(since: HashMap<NodeId, Long>, member: Member, state: MemberState) {
        if (member.state == state) since[member.id] = clock.nowMs() else since.remove(member.id)
    }

    /** The periods and limits of failure detection, in milliseconds. */
    public data class Timing(
        val periodMs: Long = 500,
        val ackTimeoutMs: Long = 1_500,
        val suspicionTimeoutMs: Long = 8_000,
        val probesPerPeriod: Int = 2,
        /** How long a dead member is remembered, so that an old rumor cannot revive it. */
        val deadRetentionMs: Long = 300_000
    )

    /** A probe or its acknowledgement, carrying recent changes of the view. */
    @Serializable
    public data class Probe(
        @CborLabel(1) val sender: Member,
        @CborLabel(2) val rumors: List<Member>
    )

    /** A [probe] to send to the node [to]. */
    public data class OutgoingProbe(val to: NodeId, val probe: Probe)

    private companion object {
        const val RUMORS_PER_MESSAGE = 6
        const val RUMOR_REPEATS = 12
        const val PAUSE_PERIODS = 3
    }
}
