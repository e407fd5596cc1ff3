package org.bronzetide.node

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import org.bronzetide.coordination.Blackboard
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.Document
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MemberState
import org.bronzetide.coordination.Membership
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.NodeId
import org.bronzetide.model.Configuration
import org.bronzetide.model.PoolId
import org.bronzetide.model.Tier
import org.bronzetide.node.documents.DocumentReplicator
import org.bronzetide.node.documents.PlatformWatcher
import org.bronzetide.node.documents.SharedDocument
import org.bronzetide.node.documents.toConfiguration
import org.bronzetide.node.documents.toDocument
import org.bronzetide.node.documents.toHosts
import org.bronzetide.node.documents.toOwnershipMap
import org.bronzetide.node.grants.Arbiters
import org.bronzetide.node.grants.ArbitratedGrants
import org.bronzetide.node.idempotency.IdempotencyKeyService
import org.bronzetide.node.idempotency.OwnershipReconciler
import org.bronzetide.node.operator.MemberStatus
import org.bronzetide.node.operator.NodeStatus
import org.bronzetide.node.operator.PoolStatus
import org.bronzetide.node.operator.RecentRefusals
import org.bronzetide.node.operator.StatusService
import org.bronzetide.node.operator.TargetStatus
import org.bronzetide.node.peer.PeerAddress
import org.bronzetide.node.peer.PeerMessage
import org.bronzetide.node.peer.PeerTransport
import org.bronzetide.platform.HostList
import org.bronzetide.platform.ObjectStore

/**
 * The node as a member of the cluster: membership, replicated documents, grants and idempotency
 * keys.
 *
 * The state of its components is confined to the control thread. This class delivers peers'
 * messages to them, and publishes the state that request threads read on the blackboard.
 */
internal class Cluster(
    private val self: NodeId,
    private val settings: Settings,
    private val clock: MonotonicClock,
    private val control: ControlLoop,
    store: ObjectStore,
    hostList: HostList,
    private val ownLoad: () -> LocalLoad
) : AutoCloseable {
    private val blackboard = Blackboard()
    private val peers =
        PeerTransport(settings.host, settings.peerPort, settings.clusterKey, self, control)
    private val membership = Membership(
        Member(
            self,
            settings.zone,
            settings.host,
            advertisedPort(),
            incarnation = 0,
            state = MemberState.ALIVE
        ),
        clock,
        Random(self.hashCode())
    )
    private val documents =
        DocumentReplicator(
            self,
            settings.zone,
            { membership.eligible() },
            peers::send,
            ::onDocument
        )
    private val platformWatcher =
        PlatformWatcher(self, settings.zone, store, hostList, documents, control) {
            membership.eligible()
        }
    private val ownershipReconciler = OwnershipReconciler(
        self,
        settings.keySlots,
        store,
        control,
        clock,
        { membership.view() },
        { documents.current(SharedDocument.OWNERSHIP) },
        { documents.publish(SharedDocument.OWNERSHIP, it) },
        { idempotencyKeys.isReplicated(it) }
    )
    private var viewVersion = -1L
    private var knownDead = emptySet<NodeId>()

    private fun advertisedPort(): Int =
        if (settings.advertisedPeerPort == 0) peers.port else settings.advertisedPeerPort

    /** The state that request threads may read. */
    val view = ClusterView(blackboard)

    /** Obtains grants from the arbiters, for requests that arrive at this node. */
    val grants = ArbitratedGrants(control, clock, ::shardsOf, peers::send)

    /** Claims idempotency keys, and handles claims on the slots that this node owns. */
    val idempotencyKeys = IdempotencyKeyService(self, control, clock, peers::send)

    /** The recent refusals on this node, for the status. */
    val refusals = RecentRefusals(clock)

    /** Collects the status of all nodes. */
    val status = StatusService(self, control, { membership.view() }, ::ownStatus, peers::send)

    private val arbiters = Arbiters(
        clock,
        settings.features,
        { view.configuration.pools[it] },
        { view.targetsOf(it) },
        peers::send
    )

    /** The port that this node listens on for peers, which may differ from the advertised one. */
    val peerPort: Int get() = peers.port

    /** The number of bytes sent to peers since the start. */
    val bytesSent: Long get() = peers.counters.sentBytes.get()

    /** Whether this node's configuration is known to be current; see [PlatformWatcher]. */
    val isConfigurationCurrent: Boolean get() = platformWatcher.isConfigurationCurrent

    fun start(scope: CoroutineScope) {
        peers.addressOf =
            { id -> view.members.find { it.id == id }?.let { PeerAddress(it.host, it.peerPort) } }
        peers.onMessage = ::onMessage
        peers.onUnreachable = {
            membership.suspect(it)
            refreshView()
        }
        peers.onReplaced = {
            membership.declareDead(it)
            refreshView()
        }
        peers.start()
        startTimers()
        control.post { refreshView() }
        platformWatcher.start(scope)
        ownershipReconciler.start(scope)
    }

    /** Announces that this node is leaving, so that others take over its roles. */
    suspend fun leave() = control.call {
        membership.leave()
        refreshView()
        probe()
    }

    /** Whether this node still has tickets to arbitrate or slots, and another node to take them. */
    suspend fun hasRoles(): Boolean = control.call {
        val others = membership.eligible().any { it.id != self }
        val map = documents.current(SharedDocument.OWNERSHIP).toOwnershipMap()
        val ownsSlots = map.slots.any { it.owner == self }
        others && (arbiters.ticketCount > 0 || ownsSlots)
    }

    /**
     * The number of requests that arbiters on this node refused for lack of capacity or time, after
     * a grant to a lower tier while they waited.
     */
    suspend fun shedInversionCount(): Int = control.call { arbiters.shedInversionCount }

    /** Applies a configuration just written to or read from the store, and pushes it to peers. */
    suspend fun publishConfiguration(configuration: Configuration) = control.call {
        documents.publish(SharedDocument.CONFIG, configuration.toDocument())
    }

    /** Whether [node] is a member of the cluster that is not known to be dead. */
    fun isLive(node: NodeId): Boolean =
        view.members.any { it.id == node && it.state != MemberState.DEAD }

    override fun close() = peers.close()

    private fun startTimers() = with(control.timers) {
        every(PROBE_INTERVAL_MS) {
            probe()
            refreshView()
        }
        every(DECISION_INTERVAL_MS) { arbiters.decideAll() }
        every(AUDIT_INTERVAL_MS) { grants.audit() }
        every(KEY_MAINTENANCE_INTERVAL_MS) { idempotencyKeys.maintain() }
    }

    private fun probe() {
        val versions = documents.versions()
        membership.tick().forEach {
            peers.send(it.to, PeerMessage.ProbeMessage(it.probe, versions))
        }
        val known = membership.view().filter { it.state != MemberState.DEAD }
            .map { PeerAddress(it.host, it.peerPort) }.toSet()
        val undiscovered = view.hosts.nodes.map { PeerAddress(it.host, it.peerPort) }
            .filter { it !in known }
        val hello = membership.probeOfUnknown()
        undiscovered.shuffled().take(MAX_DISCOVERY_PROBES).forEach {
            peers.send(it, PeerMessage.ProbeMessage(hello, versions))
        }
    }

    private fun onMessage(from: NodeId, message: PeerMessage) = when (message) {
        is PeerMessage.ProbeMessage -> onProbe(from, message)
        is PeerMessage.DocumentPull -> documents.onPull(from, message)
        is PeerMessage.DocumentUpdate -> documents.onUpdate(from, message)
        is PeerMessage.Enroll -> arbiters.onEnroll(from, message)
        is PeerMessage.Releases -> arbiters.onReleases(from, message)
        is PeerMessage.FirstTokens -> arbiters.onFirstTokens(from, message)
        is PeerMessage.Decisions -> grants.onDecisions(from, message)
        is PeerMessage.Audit -> arbiters.onAudit(from, message)
        is PeerMessage.UnknownTickets -> grants.onUnknownTickets(message)
        is PeerMessage.ClaimRequest -> idempotencyKeys.onClaimRequest(from, message)
        is PeerMessage.ClaimResponse -> idempotencyKeys.onClaimResponse(message)
        is PeerMessage.ReplicationRequest -> idempotencyKeys.onReplicationRequest(from, message)
        is PeerMessage.TransferRequest -> idempotencyKeys.onTransferRequest(from, message)
        is PeerMessage.ReplicationResponse -> idempotencyKeys.onReplicationResponse(message)
        is PeerMessage.ClaimOutcome -> idempotencyKeys.onClaimOutcome(message)
        is PeerMessage.StatusRequest -> status.onRequest(from, message)
        is PeerMessage.StatusResponse -> status.onResponse(message)
    }

    private fun onProbe(from: NodeId, message: PeerMessage.ProbeMessage) {
        if (message.isAck) {
            membership.onAck(message.probe)
            refreshView()
        } else {
            val ack = membership.onProbe(message.probe)
            refreshView()
            peers.send(from, PeerMessage.ProbeMessage(ack, documents.versions(), isAck = true))
        }
        documents.onVersions(from, message.versions)
        platformWatcher.onPeerVersion(from, message.versions[SharedDocument.CONFIG.ordinal])
    }

    private fun refreshView() {
        if (membership.version == viewVersion) return
        viewVersion = membership.version
        blackboard[ClusterView.MEMBERS] = membership.view()
        val dead = membership.view().filter { it.state == MemberState.DEAD }.map { it.id }.toSet()
        val candidates = membership.eligible().map { it.id }
        arbiters.onViewChange()
        (dead - knownDead).forEach { arbiters.onNodeDead(it) }
        knownDead = dead
        grants.onCandidates(candidates)
    }

    private fun onDocument(kind: SharedDocument, document: Document) = when (kind) {
        SharedDocument.CONFIG -> {
            blackboard[ClusterView.CONFIGURATION] = document.toConfiguration()
            arbiters.refresh()
        }

        SharedDocument.HOSTS -> {
            blackboard[ClusterView.HOSTS] = ClusterView.IndexedHosts(document.toHosts())
            arbiters.refresh()
        }

        SharedDocument.OWNERSHIP -> {
            val map = document.toOwnershipMap()
            blackboard[ClusterView.OWNERSHIP] = map
            idempotencyKeys.onOwnershipMap(map)
        }
    }

    private fun shardsOf(pool: PoolId): Int = view.configuration.pools[pool]?.shards ?: 1

    private fun ownStatus(): NodeStatus {
        val load = ownLoad()
        val (config, hosts, ownership) = documents.versions()
        return NodeStatus(
            node = self.value,
            zone = settings.zone,
            isReady = load.isReady,
            configurationVersion = config,
            hostListRevision = hosts,
            ownershipVersion = ownership,
            requestsInside = load.requests,
            ledgerBuffered = load.ledgerLines,
            keysRemembered = idempotencyKeys.size,
            pools = poolStatuses(),
            members = membership.view().map { MemberStatus(it.id.value, it.zone, it.state.name) },
            recentRefusals = refusals.counts()
        )
    }

    private fun poolStatuses() = arbiters.schedulers.map { (shard, scheduler) ->
        PoolStatus(
            pool = shard.pool.value,
            shard = shard.index,
            running = scheduler.runningCount,
            queuedByTier = Tier.all.map { scheduler.queuedCount(it) },
            targets = scheduler.targetViews().map {
                TargetStatus(it.id.value, it.inFlight, it.limit, it.isEjected, it.isLeaving)
            }
        )
    }

    /** The state of the request threads that is part of the node's status. */
    class LocalLoad(val requests: Int, val ledgerLines: Int, val isReady: Boolean)

    private companion object {
        const val PROBE_INTERVAL_MS = 500L
        const val DECISION_INTERVAL_MS = 20L
        const val AUDIT_INTERVAL_MS = 1_000L
        const val KEY_MAINTENANCE_INTERVAL_MS = 500L
        const val MAX_DISCOVERY_PROBES = 4
    }
}
