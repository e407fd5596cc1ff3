package org.bronzetide.coordination

import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property

class MembershipProperties {
    @Property(tries = 50, seed = "11")
    fun `every node learns of every other through one that it knows`(@ForAll seed: Long) {
        val cluster = FakeCluster(Random(seed), size = 12)
        cluster.run(15_000)
        check(cluster.views().all { it.size == 12 })
        check(cluster.doubted().size <= 1) { "not seen alive: ${cluster.doubted()}" }
    }

    @Property(tries = 30, seed = "12")
    fun `a pause of five seconds kills nobody and is forgotten`(@ForAll seed: Long) {
        val random = Random(seed)
        val cluster = FakeCluster(random, size = 8)
        cluster.run(15_000)
        repeat(4) {
            val paused = random.nextInt(8)
            cluster.silent += paused
            cluster.run(5_000)
            cluster.silent -= paused
            cluster.run(1_000 + random.nextLong(3_000))
        }
        cluster.run(15_000)
        check(cluster.everDead.isEmpty()) { "declared dead: ${cluster.everDead}" }
        check(cluster.doubted().size <= 1) { "not seen alive: ${cluster.doubted()}" }
    }

    @Property(tries = 30, seed = "13")
    fun `a crashed node is routed around within 3 s and dead within 15 s`(@ForAll seed: Long) {
        val cluster = FakeCluster(Random(seed), size = 8)
        cluster.run(15_000)
        cluster.silent += 3
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
        val cluster = FakeCluster(Random(1), size = 4)
        cluster.run(10_000)
        cluster.machines[2].leave()
        cluster.run(3_000)
        check(cluster.machines.all { machine -> machine.eligible().none { it.id.value == "n2" } })
    }

    @Example
    fun `a leaving node that cannot be reached has left`() {
        val cluster = FakeCluster(Random(1), size = 4)
        cluster.run(10_000)
        cluster.machines[2].leave()
        cluster.run(3_000)
        cluster.silent += 2
        cluster.run(6_000)
        val states = cluster.views(except = 2).map { view ->
            view.single { it.id.value == "n2" }.state
        }
        check(states.all { it == MemberState.DEAD }) { "$states" }
    }

    @Example
    fun `a rumor about an earlier incarnation changes nothing`() {
        val clock = ManualClock()
        val member = Member(NodeId("b"), "z", "h", 1, incarnation = 5, MemberState.ALIVE)
        val self = Member(NodeId("a"), "z", "h", 2, incarnation = 1, MemberState.ALIVE)
        val machine = Membership(self, clock, Random(1))
        machine.learn(listOf(member))
        val rumor = member.copy(incarnation = 4, state = MemberState.DEAD)
        machine.onProbe(Membership.Probe(self.copy(id = NodeId("c")), listOf(rumor)))
        check(machine.view().single { it.id == member.id }.state == MemberState.ALIVE)
    }

    private class FakeCluster(private val random: Random, size: Int) {
        private val clock = ManualClock()
        val silent = HashSet<Int>()
        val everDead = HashSet<NodeId>()
        val machines = List(size) { index ->
            val self = Member(NodeId("n$index"), "z", "h", index, 1, MemberState.ALIVE)
            Membership(self, clock, Random(random.nextLong()))
        }

        init {
            machines.drop(1).forEach { it.learn(listOf(machines[0].self)) }
        }

        fun views(except: Int = -1) = machines.filterIndexed { i, _ ->
            i != except
        }.map { it.view() }

        fun doubted(): Set<NodeId> =
            views().flatten().filter { it.state != MemberState.ALIVE }.map { it.id }.toSet()

        fun run(durationMs: Long) = repeat((durationMs / PERIOD_MS).toInt()) {
            clock.advance(PERIOD_MS)
            machines.indices.filter { it !in silent }.forEach { tick(it) }
            everDead += views().flatten().filter { it.state == MemberState.DEAD }.map { it.id }
        }

        private fun tick(index: Int) {
            machines[index].tick().forEach { outgoing ->
                val to = outgoing.to.value.removePrefix("n").toInt()
                if (to in silent || random.nextInt(100) == 0) return@forEach
                val ack = machines[to].onProbe(outgoing.probe)
                if (random.nextInt(100) != 0) machines[index].onAck(ack)
            }
        }
    }

    private companion object {
        const val PERIOD_MS = 500L
    }
}
