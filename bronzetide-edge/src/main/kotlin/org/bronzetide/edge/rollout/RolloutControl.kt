package org.bronzetide.edge.rollout

import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.edge.forwarding.SendListener
import org.bronzetide.edge.peer.LiveHosts
import org.bronzetide.edge.peer.RolloutExchange
import org.bronzetide.edge.state.StoreLease
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.edge.telemetry.EdgeMetrics
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.TargetEntry
import org.bronzetide.scheduling.fleet.FleetOutcome
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.FleetTarget
import org.bronzetide.scheduling.fleet.HeldVersions
import org.bronzetide.scheduling.fleet.RolloutDecision
import org.bronzetide.scheduling.fleet.RolloutPolicy

/** The parts of a process that take part in rollouts, if the deployment has them. */
internal class RolloutControl(
    private val settings: HostSettings,
    private val control: ControlLoop,
    private val clock: MonotonicClock,
    private val store: FleetStore,
    private val log: DecisionLog,
    private val metrics: EdgeMetrics,
    liveHosts: () -> LiveHosts
) : SendListener {
    private val held = HeldVersions()
    private val policy: RolloutPolicy = RolloutPolicy(
        settings.bounds.exposureShare,
        settings.bounds.exposureSlack,
        settings.bounds.rollbackMs
    ) { exchange.hostCount }

    /** What the messages between hosts carry of rollouts. */
    val exchange: RolloutExchange =
        RolloutExchange(policy, settings.seeds.any { it.host != settings.ip })

    /** Observes the orders in the store. */
    val orders: RolloutOrders = RolloutOrders(control, clock, policy, log) {
        held.onOrdersRead(clock.nowMs())
        policy.hold(held.held)
    }

    /** Writes the status of rollouts. */
    val driver: RolloutDriver = RolloutDriver(
        control,
        clock,
        store,
        orders,
        policy,
        log,
        metrics,
        { liveHosts().rankFor("rollout $it") }
    ) { StoreLease(store, it, settings.nodeName, clock, log, metrics) }

    /** Makes [scheduler] ask for the versions that may be used, and registers the gauges. */
    fun start(scheduler: FleetScheduler) {
        scheduler.isVersionAllowed = { target, isBound ->
            policy.isAllowed(target, clock.nowMs(), isBound)
        }
        scheduler.wouldAllowVersion = { target, isBound ->
            policy.wouldAllow(target, clock.nowMs(), isBound)
        }
        policy.onStop = { order, evidence ->
            log.stateChange(
                "rollout stopped",
                "service" to order.service,
                "to" to order.to.name,
                "evidence" to evidence,
                "elapsedMs" to policy.elapsedMs(order.service, clock.nowMs())
            )
            metrics.onRolloutStop()
        }
        metrics.gauge("bronzetide.edge.rollouts.undecided") {
            policy.orders.count { policy.decisionOn(it.service) == RolloutDecision.Undecided }
        }
        metrics.gauge("bronzetide.edge.rollout.exposed.requests") { policy.exposedCount }
    }

    /** Takes over the known targets; must be called on the control thread. */
    fun onTargets(targets: List<FleetTarget>, entries: Map<String, TargetEntry>) {
        held.updateTargets(targets, clock.nowMs()) { entries[it.id]?.startedAtMs ?: 0 }
        policy.hold(held.held)
        policy.updateTargets(targets)
    }

    override fun onSend(
        sequence: Long,
        service: String,
        route: String,
        targetId: String,
        isFirst: Boolean
    ) = policy.onSend(sequence, service, route, targetId, isFirst, clock.nowMs())

    override fun onEnd(sequence: Long, outcome: FleetOutcome, nowMs: Long) =
        policy.onEnd(sequence, outcome, nowMs)
}
