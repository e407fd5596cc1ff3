package org.bronzetide.coordination

import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property

/**
 * Simulated clusters with 1 % message loss. They must converge to one view, tolerate a paused node,
 * and detect a crashed one in time.
 */
class MembershipProperties {
    @Property(tries = 50, seed = "11")
    fun `every node discovers every other through one seed node`(@ForAll seed: Long) {
        val cluster = SimulatedCluster(Random(seed), size = 12)
        cluster.run(15_000)
        check(cluster.views().all { it.size == 12 })
        check(cluster.notAlive().size <= 1) { "not seen alive: ${cluster.notAlive()}" }
    }

    @Property(tries = 30, seed = "12")
    fun `a pause of five seconds causes no declaration of death and leaves no suspicion`(
        @ForAll seed: Long
    ) {
        val random = Random(seed)
        val cluster = SimulatedCluster(random, size = 8)
        cluster.run(15_000)
        repeat(4) {
            val paused = random.nextInt(8)
            cluster.unresponsive += paused
            cluster.run(5_000)
            cluster.unresponsive -= paused
            cluster.run(1_000 + random.nextLong(3_000))
        }
        cluster.run(15_000)
        check(cluster.declaredDead.isEmpty()) { "declared dead: ${cluster.declaredDead}" }
        check(cluster.notAlive().size <= 1) { "not seen alive: ${cluster.notAlive()}" }
    }

    @Property(tries = 30, seed = "13")
    fun `a crashed node gets no role after 3 s and is declared dead within 15 s`(
        @ForAll seed: Long
    ) {
        val cluster = SimulatedCluster(Random(seed), size = 8)
        cluster.run(15_000)
        cluster.unresponsive += 3
        cluster.run(3_000)
        val stillPlaced = cluster.views(except = 3)
            .count { view -> view.any { it.id.value == "n3" && it.state == MemberState.ALIVE } }
        check(stillPlaced == 0) { "$stillPlaced nodes still place roles on the crashed one" }
        cluster.run(12_000)
        val isDead = cluster.views(except = 3)
            .all { view -> view.any { it.id.value == "n3" && it.state == MemberState.DEAD } }
        check(isDead)
    }

    @Example
    fun `a leaving node gets no role`() {
        val cluster = SimulatedCluster(Random(1), size = 4)
        cluster.run(10_000)
        cluster.nodes[2].leave()
        cluster.run(3_000)
        check(cluster.nodes.all { node -> node.eligible().none { it.id.value == "n2" } })
    }

    @Example
    fun `a leaving node that becomes unreachable is declared dead`() {
        val cluster = SimulatedCluster(Random(1), size = 4)
        cluster.run(10_000)
        cluster.nodes[2].leave()
        cluster.run(3_000)
        cluster.unresponsive += 2
        cluster.run(6_000)
        val states = cluster.views(except = 2).map { view ->
            view.single { it.id.value == "n2" }.state
        }
        check(states.all { it == MemberState.DEAD }) { "$states" }
    }

    @Example
    fun `a rumor about an earlier incarnation is ignored`() {
        val clock = ManualClock()
        val member = Member(NodeId("b"), "z", "h", 1, incarnation = 5, MemberState.ALIVE)
        val self = Member(NodeId("a"), "z", "h", 2, incarnation = 1, MemberState.ALIVE)
        val node = Membership(self, clock, Random(1))
        node.learn(listOf(member))
        val rumor = member.copy(incarnation = 4, state = MemberState.DEAD)
        node.onProbe(Membership.Probe(self.copy(id = NodeId("c")), listOf(rumor)))
        check(node.view().single { it.id == member.id }.state == MemberState.ALIVE)
    }

    /** Guards against a node that starts and knows one peer only, because one reply was lost. */
    @Example
    fun `a node whose first reply is lost learns all members from the next one`() {
        val clock = ManualClock()
        val members = List(8) { Member(NodeId("n$it"), "z", "h", it, 1, MemberState.ALIVE) }
        val peer = Membership(members[0], clock, Random(1))
        peer.learn(members.drop(1))
        val newcomer = Membership(members[0].copy(id = NodeId("new")), clock, Random(2))
        peer.onProbe(newcomer.probeOfUnknown())
        newcomer.onAck(peer.onProbe(newcomer.probeOfUnknown()))
        check(newcomer.view().size == 9) { "${newcomer.view()}" }
        check(peer.onProbe(newcomer.probeOfUnknown()).rumors.size < 8)
    }

    private class SimulatedCluster(private val random: Random, size: Int) {
        private val clock = ManualClock()
        val unresponsive = HashSet<Int>()
        val declaredDead = HashSet<NodeId>()
        val nodes = List(size) { index ->
            val self = Member(NodeId("n$index"), "z", "h", index, 1, MemberState.ALIVE)
            Membership(self, clock, Random(random.nextLong()))
        }

        init {
            nodes.drop(1).forEach { it.learn(listOf(nodes[0].self)) }
        }

        fun views(except: Int = -1) = nodes.filterIndexed { i, _ -> i != except }.map { it.view() }

        fun notAlive(): Set<NodeId> =
            views().flatten().filter { it.state != MemberState.ALIVE }.map { it.id }.toSet()

        fun run(durationMs: Long) = repeat((durationMs / PERIOD_MS).toInt()) {
            clock.advance(PERIOD_MS)
            nodes.indices.filter { it !in unresponsive }.forEach { tick(it) }
            declaredDead += views().flatten().filter { it.state == MemberState.DEAD }.map { it.id }
        }

        private fun tick(index: Int) {
            nodes[index].tick().forEach { outgoing ->
                val to = outgoing.to.value.removePrefix("n").toInt()
                if (to in unresponsive || random.nextInt(100) == 0) return@forEach
                val ack = nodes[to].onProbe(outgoing.probe)
                if (random.nextInt(100) != 0) nodes[index].onAck(ack)
            }
        }
    }

    private companion object {
        const val PERIOD_MS = 500L
    }
}
