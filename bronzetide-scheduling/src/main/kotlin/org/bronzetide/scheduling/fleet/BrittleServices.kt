package org.bronzetide.scheduling.fleet

import kotlin.random.Random

/**
 * A service whose targets fall over if they have to refuse more than [refusalsPerS] requests in a
 * second, as one of them said at [statedAtMs] on the clock of the host that holds this.
 */
public data class BrittleStatement(val refusalsPerS: Double, val statedAtMs: Long)

/**
 * The services whose targets have said that they fall over if they have to refuse too many requests
 * in a second, as known on one host.
 *
 * All targets of a service say so at the same time, so that what one of them says holds for the
 * others. A statement holds for [STATEMENT_RETENTION_MS] milliseconds, as a host that sends little
 * hears from a target only now and then. Single-threaded.
 */
public class BrittleServices internal constructor(private val random: Random) {
    private val statements = HashMap<String, BrittleStatement>()

    /**
     * How many requests this host may always have at a target of a brittle service. The numbers of
     * all hosts add up to the target's slots.
     */
    public var slotAllotment: (FleetTarget) -> Int = { it.slots }

    /** Records that a target of [service] has made [statement], unless a later one is known. */
    public fun onStated(service: String, statement: BrittleStatement) {
        val known = statements[service]
        if (known == null && statements.size >= MAX_SERVICES) return
        if (known == null || statement.statedAtMs > known.statedAtMs) {
            statements[service] = statement
        }
    }

    /** Returns the statement that holds for [service], or `null` if it is not brittle. */
    public fun statementOn(service: String, nowMs: Long): BrittleStatement? =
        statements[service]?.takeIf { nowMs - it.statedAtMs < STATEMENT_RETENTION_MS }

    /** Returns the statements that hold, by service. */
    public fun current(nowMs: Long): Map<String, BrittleStatement> {
        statements.values.removeIf { nowMs - it.statedAtMs >= STATEMENT_RETENTION_MS }
        return statements.toMap()
    }

    /**
     * Whether one more request of this host fits at [load], one of the targets [inService],
     * whatever the other hosts have sent since their requests there were counted; there are
     * [hostCount] hosts.
     *
     * With many hosts, most have few slots allotted, or none, and leave them empty while others
     * have requests. So the hosts together may add, between two counts, as many requests as a part
     * of the free slots has room for: each one at most one, with the probability of its share.
     */
    internal fun mayAdd(
        load: TargetLoad,
        statement: BrittleStatement,
        inService: List<TargetLoad>,
        hostCount: Int
    ): Boolean {
        val target = load.spec
        if (load.ownCount < slotAllotment(target)) return true
        if (inService.sumOf { it.spec.slots } >= hostCount * MIN_ALLOTTED_SLOTS) return false
        val spare = if (statement.refusalsPerS >= MIN_TOLERANT_REFUSALS_PER_S) {
            (target.slots - load.count) * TOLERANT_SPARE_SHARE
        } else {
            target.slots * BRITTLE_SPARE_SHARE - load.count
        }
        return load.spareDraw * hostCount < spare
    }

    /** Records that a request is about to be sent to [load]. */
    internal fun onSend(load: TargetLoad) {
        if (load.ownCount >= slotAllotment(load.spec)) load.spareDraw = TargetLoad.NO_DRAW
    }

    /**
     * How long this host sends nothing to a target of [service] that has refused a request, in
     * milliseconds, or `null` if the service is not brittle. Hosts that were refused together must
     * not return together.
     */
    internal fun restAfterRefusalMs(service: String, nowMs: Long): Long? =
        statementOn(service, nowMs)?.let { REST_MS / 2 + random.nextLong(REST_MS) }

    private companion object {
        const val REST_MS = 1_000L

        /** Hosts with as many slots of a brittle service use most of them by themselves. */
        const val MIN_ALLOTTED_SLOTS = 4

        /** The part of a brittle target's slots that is not left to the hosts' allotments alone. */
        const val BRITTLE_SPARE_SHARE = 0.4

        /** The same of the slots that are free, at a target that bears some refusals. */
        const val TOLERANT_SPARE_SHARE = 0.3

        /** Brittle targets that bear as many refusals bear those of hosts that send at once. */
        const val MIN_TOLERANT_REFUSALS_PER_S = 3.0

        const val STATEMENT_RETENTION_MS = 10_000L

        /** Many times the services of a deployment. */
        const val MAX_SERVICES = 1_000
    }
}
