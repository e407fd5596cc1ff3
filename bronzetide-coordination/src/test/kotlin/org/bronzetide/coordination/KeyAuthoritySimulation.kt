package org.bronzetide.coordination

import kotlin.random.Random

/**
 * A simulated cluster of nodes with real [KeyAuthority] and [OwnershipPlanner] instances.
 *
 * Messages are lost, delayed and reordered, and nodes pause. Each node reads the stored ownership
 * map only now and then, as if the store were unavailable in between. Every step is drawn from
 * [random].
 */
internal class KeyAuthoritySimulation(
    private val random: Random,
    private val mutations: Set<Mutation> = emptySet()
) {
    /** A safeguard that is disabled to show that a test detects its absence. */
    enum class Mutation {
        IGNORES_REJECTED_RECORD,
        SENDS_EMPTY_TRANSFER,
        USES_LATE_GRANT,
        NO_CLOSED_SLOT
    }

    private val clock = ManualClock()
    private val ids = List(NODES) { NodeId("n$it") }
    private val nodes = ids.associateWith { SimulatedNode(it) }
    private val network = ArrayList<Message>()
    private var stored = OwnershipMap.initial(slotCount = 2, ids.take(3))
    private val attempts = ArrayList<Attempt>()

    /** The number of dispatches by key. */
    val dispatches = HashMap<String, Int>()

    /** The attempts that were reported to the caller as not run. */
    val refusedAttempts = HashSet<String>()

    /** The attempts that were dispatched. */
    val dispatchedAttempts = HashSet<String>()

    init {
        nodes.values.forEach { it.updateMap(stored) }
    }

    fun run(steps: Int) = repeat(steps) { step() }

    private fun step() {
        clock.advance(random.nextLong(20))
        when (random.nextInt(100)) {
            in 0..19 -> newAttempt()
            in 20..69 -> deliver()
            in 70..74 -> if (network.isNotEmpty()) network.removeAt(random.nextInt(network.size))
            in 75..79 -> anyNode().isPaused = true
            in 80..86 -> anyNode().isPaused = false
            in 87..91 -> changeMap(anyNode())
            in 92..95 -> anyNode().takeUnless { it.isPaused }?.updateMap(stored)
            in 96..97 -> timeOutAttempt()
            else -> anyNode().takeUnless { it.isPaused }?.transfer()
        }
    }

    private fun anyNode() = nodes.getValue(ids[random.nextInt(NODES)])

    private fun newAttempt() {
        val key = "key-${random.nextInt(KEYS)}"
        val entry = anyNode()
        val owner = entry.map.slots[entry.map.slotOf(key)!!].owner
        val abandoned = attempts.map { it.claim }
            .filter { it.key == key && it.claimant == entry.id && it.attempt in refusedAttempts }
            .map { it.attempt }
        val superseded = if (random.nextBoolean()) abandoned else emptyList()
        val claim = KeyClaim(key, "print", entry.id, "a${attempts.size}", superseded)
        attempts += Attempt(claim)
        send(owner) { it.onClaim(claim) }
    }

    private fun deliver() {
        if (network.isEmpty()) return
        val message = network.removeAt(random.nextInt(network.size))
        val node = nodes.getValue(message.to)
        if (node.isPaused) network += message else message.action(node)
    }

    private fun changeMap(node: SimulatedNode) {
        if (node.isPaused || node.map != stored) return
        val unreachable = ids.filter { it != node.id && random.nextInt(3) == 0 }.toSet()
        val dead = unreachable.filter { random.nextInt(3) == 0 }.toSet()
        val eligible = ids.toSet() - unreachable
        stored = OwnershipPlanner(node.id, eligible, unreachable, dead) {
            node.authority.isReplicated(it)
        }.plan(stored) ?: return
        node.updateMap(stored)
    }

    private fun timeOutAttempt() {
        val open = attempts.filter { it.isOpen }
        if (open.isEmpty()) return
        val attempt = open[random.nextInt(open.size)]
        attempt.isOpen = false
        refusedAttempts += attempt.claim.attempt
        val entry = nodes.getValue(attempt.claim.claimant)
        val slot = entry.map.slots[entry.map.slotOf(attempt.claim.key)!!]
        listOfNotNull(slot.owner, slot.successor).forEach { to ->
            send(to) { it.authority.withdraw(attempt.claim.key, attempt.claim.attempt) }
        }
    }

    private fun onReply(claim: KeyClaim, reply: ClaimReply) {
        val attempt = attempts.first { it.claim.attempt == claim.attempt }
        val isUsable = attempt.isOpen || Mutation.USES_LATE_GRANT in mutations
        if (reply !is ClaimReply.Granted || !isUsable || attempt.isDispatched) return
        attempt.isDispatched = true
        attempt.isOpen = false
        dispatches.merge(claim.key, 1, Int::plus)
        dispatchedAttempts += claim.attempt
        val owner = stored.slots[stored.slotOf(claim.key)!!].owner
        val finished = KeyOutcome.Finished(Verdict.Ran, null)
        send(owner) { it.authority.finish(claim.key, claim.attempt, finished) }
    }

    private fun send(to: NodeId, action: (SimulatedNode) -> Unit) {
        network += Message(to, action)
    }

    private inner class SimulatedNode(val id: NodeId) {
        val authority = KeyAuthority(
            id,
            clock,
            retentionMs = if (Mutation.NO_CLOSED_SLOT in mutations) 1 else RETENTION_MS
        )
        var map = OwnershipMap()
        var isPaused = false

        fun updateMap(next: OwnershipMap) {
            map = next
            authority.updateMap(next)
        }

        fun onClaim(claim: KeyClaim) {
            when (val step = authority.claim(claim)) {
                is KeyAuthority.Step.Reply -> reply(claim, step.reply)
                is KeyAuthority.Step.Replicate -> replicate(claim, step)
            }
        }

        fun transfer() {
            authority.pendingTransfers().forEach { successor ->
                val transfer = authority.transferTo(successor) ?: return@forEach
                val sent = if (Mutation.SENDS_EMPTY_TRANSFER in mutations) {
                    transfer.copy(records = emptyList())
                } else {
                    transfer
                }
                send(successor) { receiver ->
                    val isAccepted = receiver.authority.acceptTransfer(sent)
                    send(id) { if (isAccepted) it.authority.onTransferred(successor, transfer) }
                }
            }
        }

        private fun replicate(claim: KeyClaim, step: KeyAuthority.Step.Replicate) {
            val to = step.to ?: return reply(claim, authority.onReplicated(step.message, true))
            send(to) { receiver ->
                val isAccepted = receiver.authority.acceptReplica(step.message) ||
                    Mutation.IGNORES_REJECTED_RECORD in mutations
                send(id) { reply(claim, authority.onReplicated(step.message, isAccepted)) }
            }
        }

        private fun reply(claim: KeyClaim, reply: ClaimReply) =
            send(claim.claimant) { onReply(claim, reply) }
    }

    private class Message(val to: NodeId, val action: (SimulatedNode) -> Unit)

    private class Attempt(val claim: KeyClaim) {
        var isOpen = true
        var isDispatched = false
    }

    private companion object {
        const val NODES = 5
        const val KEYS = 4
        const val RETENTION_MS = 1_000_000L
    }
}
