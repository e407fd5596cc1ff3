package org.bronzetide.coordination

import kotlin.random.Random

/**
 * Real [KeyAuthority] and [OwnershipPlanner] machines joined by links that lose, delay and reorder,
 * with nodes that pause and a store that is away at times. Each step is drawn from [random].
 */
internal class KeyAuthoritySimulation(
    private val random: Random,
    private val mutations: Set<Mutation> = emptySet()
) {
    /** A mechanism that a test switches off, to show that its check can fail. */
    enum class Mutation {
        IGNORES_REFUSED_REPLICA,
        SENDS_EMPTY_TRANSFER,
        USES_LATE_GRANT,
        NO_CLOSED_SLOT
    }

    private val clock = ManualClock()
    private val names = List(NODES) { NodeId("n$it") }
    private val nodes = names.associateWith { Host(it) }
    private val network = ArrayList<Message>()
    private var stored = OwnershipMap.initial(slotCount = 2, names.take(3))
    private val attempts = ArrayList<Attempt>()

    /** The dispatches made for each key. */
    val dispatches = HashMap<String, Int>()

    /** The attempts that were refused as surely not run, by name. */
    val refusedAttempts = HashSet<String>()

    /** The attempts that were dispatched, by name. */
    val dispatchedAttempts = HashSet<String>()

    init {
        nodes.values.forEach { it.learn(stored) }
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
            in 92..95 -> anyNode().takeUnless { it.isPaused }?.learn(stored)
            in 96..97 -> timeOutAttempt()
            else -> anyNode().takeUnless { it.isPaused }?.transfer()
        }
    }

    private fun anyNode() = nodes.getValue(names[random.nextInt(NODES)])

    private fun newAttempt() {
        val key = "key-${random.nextInt(KEYS)}"
        val entry = anyNode()
        val owner = entry.map.slots[entry.map.slotOf(key)!!].owner
        val given = attempts.map { it.claim }
            .filter { it.key == key && it.claimant == entry.id && it.attempt in refusedAttempts }
            .map { it.attempt }
        val superseded = if (random.nextBoolean()) given else emptyList()
        val claim = KeyClaim(key, "print", entry.id, "a${attempts.size}", superseded)
        attempts += Attempt(claim)
        send(owner) { it.onClaim(claim) }
    }

    private fun deliver() {
        if (network.isEmpty()) return
        val message = network.removeAt(random.nextInt(network.size))
        val host = nodes.getValue(message.to)
        if (host.isPaused) network += message else message.action(host)
    }

    private fun changeMap(host: Host) {
        if (host.isPaused || host.map != stored) return
        val unreachable = names.filter { it != host.id && random.nextInt(3) == 0 }.toSet()
        val dead = unreachable.filter { random.nextInt(3) == 0 }.toSet()
        val eligible = names.toSet() - unreachable
        stored =
            OwnershipPlanner(host.id, eligible, unreachable, dead) {
                host.authority.isReplicated(it)
            }
                .plan(stored) ?: return
        host.learn(stored)
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

    private fun send(to: NodeId, action: (Host) -> Unit) {
        network += Message(to, action)
    }

    private inner class Host(val id: NodeId) {
        val authority = KeyAuthority(
            id,
            clock,
            retentionMs = if (Mutation.NO_CLOSED_SLOT in mutations) 1 else RETENTION_MS
        )
        var map = OwnershipMap()
        var isPaused = false

        fun learn(next: OwnershipMap) {
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
                send(successor) { heir ->
                    val isAccepted = heir.authority.acceptTransfer(sent)
                    send(id) { if (isAccepted) it.authority.onTransferred(successor, transfer) }
                }
            }
        }

        private fun replicate(claim: KeyClaim, step: KeyAuthority.Step.Replicate) {
            val to = step.to ?: return reply(claim, authority.onReplicated(step.message, true))
            send(to) { heir ->
                val isAccepted = heir.authority.acceptReplica(step.message) ||
                    Mutation.IGNORES_REFUSED_REPLICA in mutations
                send(id) { reply(claim, authority.onReplicated(step.message, isAccepted)) }
            }
        }

        private fun reply(claim: KeyClaim, reply: ClaimReply) =
            send(claim.claimant) { onReply(claim, reply) }
    }

    private class Message(val to: NodeId, val action: (Host) -> Unit)

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
