package org.bronzetide.edge.streams

import java.nio.ByteBuffer
import kotlin.random.Random
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.MonotonicClock
import org.bronzetide.coordination.TimerService
import org.bronzetide.edge.peer.PeerMessage
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.ServedVersions
import org.bronzetide.scheduling.streams.StreamId
import org.bronzetide.scheduling.streams.StreamOrigin
import org.bronzetide.scheduling.streams.StreamTable

/**
 * Keeps where streams have begun, so that any host can tell at which version one may go on.
 *
 * Each host records the streams that begin or go on there. Those of services with several versions
 * are also sent to two keepers at once; with one version there is nothing to tell apart, and
 * nothing is sent. When a service gets a second version, or a keeper changes, the streams that the
 * keepers lack follow at a bounded rate.
 *
 * A host that learns of a second version tells a few others, which do the same, so that those whose
 * view of the targets is late learn of it. The time at which a version had targets is passed on
 * with it and never made later: hosts do not keep a version alive by telling each other of it.
 *
 * Confined to the control thread.
 */
internal class StreamExchange(
    selfName: String,
    private val clock: MonotonicClock,
    private val timers: TimerService,
    private val versions: ServedVersions,
    private val log: DecisionLog,
    private val send: (ip: String, PeerMessage) -> Unit,
    /** The services with one version whose streams the keepers must know all the same. */
    private val ambiguousServices: () -> Set<String> = { emptySet() },
    private val random: Random = Random.Default
) {
    /** The streams that have begun or gone on at this host, and those kept for others. */
    private val own = StreamTable(MAX_OWN_STREAMS)
    private val kept = StreamTable(MAX_KEPT_STREAMS)
    private val keepers = StreamKeepers(selfName)
    private val queries = StreamQueries(timers, send, random)

    /** The keepers to which the streams of each slot in use have been sent, or will be. */
    private val informed = HashMap<Int, Set<StreamKeepers.KeeperHost>>()

    private val sender = StreamSender(clock, timers, ::find, ::untilMs, ::sendTo)
    private val createdAtMs = clock.nowMs()
    private var mixedServices: Set<String> = emptySet()

    /** The services whose streams are sent to keepers: [mixedServices] and ambiguous ones. */
    private var sharedServices: Set<String> = emptySet()

    /** Whether other hosts are known that are not dead. */
    val hasPeers: Boolean get() = keepers.hasHosts

    /** The number of other hosts that are not known to be dead. */
    val peerCount: Int get() = keepers.all.size

    /** The number of other hosts that have died or left and may still serve, out of reach. */
    val lostPeerCount: Int get() = keepers.lostCount

    /**
     * When a process that knew of streams was last lost, in milliseconds on the clock: one of
     * another host, or the one before this one. `null` once those streams cannot be taken up.
     */
    val lastLossAtMs: Long?
        get() = (keepers.lastLossAtMs ?: createdAtMs)
            .takeIf { clock.nowMs() - it < versions.windowMs }

    /** Starts the periodic work. */
    fun start() {
        timers.every(CHECK_INTERVAL_MS) { check() }
    }

    /** Replaces the members of the fleet. */
    fun updateMembers(members: Collection<Member>) {
        val nowMs = clock.nowMs()
        keepers.update(members, nowMs)
        val missing = HashMap<Int, List<StreamKeepers.KeeperHost>>()
        informed.entries.forEach { entry ->
            val current = keepers.of(entry.key).toSet()
            missing[entry.key] = (current - entry.value).toList()
            entry.setValue(current)
        }
        if (missing.values.all { it.isEmpty() }) return
        shared(nowMs).forEach { id ->
            missing[StreamKeepers.slotOf(id)]?.forEach { sender.sendLater(id, it.name) }
        }
    }

    /** Records that the stream [id] has begun, or goes on, at [origin] by way of this host. */
    fun record(id: StreamId, origin: StreamOrigin) {
        val nowMs = clock.nowMs()
        own.put(id, origin, nowMs + versions.windowMs)
        val isShared = versions.isMixed(origin.service, nowMs) ||
            origin.service in sharedServices
        if (!isShared) return
        updateSharedServices()
        inform(id).forEach { sender.sendSoon(id, it.name) }
    }

    /** Adds a stream of which the store had the origin when this host started. */
    fun addFromStore(id: StreamId, origin: StreamOrigin) {
        val nowMs = clock.nowMs()
        if (find(id) == null) kept.put(id, origin, nowMs + versions.windowMs)
    }

    /** Returns the streams that have begun or gone on at this host and may be taken up. */
    fun liveOwn(): Map<StreamId, StreamOrigin> = own.live(clock.nowMs())

    /** Returns where the stream [id] has begun, as far as this host knows. */
    fun find(id: StreamId): StreamOrigin? {
        val nowMs = clock.nowMs()
        return own.find(id, nowMs) ?: kept.find(id, nowMs)
    }

    /** Asks other hosts for the origin of [id] and for the versions of [services]. */
    fun ask(id: StreamId, services: List<String>, onAnswer: (StreamQueries.Answer) -> Unit) {
        val hosts = keepers.toAsk(StreamKeepers.slotOf(id))
        val askedAtMs = clock.nowMs()
        queries.ask(id, services, hosts.map { it.ip }) { answer ->
            answer.replies.flatMap { it.services }.forEach { learn(it, askedAtMs) }
            updateSharedServices()
            onAnswer(answer)
        }
    }

    /** Handles the origins of streams that this host keeps. */
    fun onPush(message: PeerMessage.StreamPush) {
        val nowMs = clock.nowMs()
        message.groups.forEach { group ->
            val origin = StreamOrigin(group.service, SoftwareVersion(group.version))
            val remainingMs = (group.remainingS * MS_PER_S).coerceIn(0, versions.windowMs)
            versions.add(
                group.service,
                setOf(origin.version),
                nowMs + remainingMs - versions.windowMs
            )
            val ids = ByteBuffer.wrap(group.ids)
            while (ids.remaining() >= Long.SIZE_BYTES) {
                val id = StreamId(ids.getLong())
                val untilMs = nowMs + remainingMs
                // A host that began it may send it again after another one has continued it.
                if (untilMs > (kept.untilMs(id, nowMs) ?: nowMs)) kept.put(id, origin, untilMs)
                informed.getOrPut(StreamKeepers.slotOf(id)) { keepersOf(id) }
            }
        }
        updateSharedServices()
    }

    /** Replies to a query of the host at [senderIp]. */
    fun onQuery(message: PeerMessage.StreamQuery, senderIp: String) {
        val nowMs = clock.nowMs()
        val origin = find(StreamId(message.stream))
        val ambiguous = ambiguousServices()
        val services = message.services.take(MAX_SERVICES).map { service ->
            val seen = versions.agesMs(service, nowMs).entries.sortedBy { it.value }
                .take(MAX_VERSIONS).map { PeerMessage.SeenVersion(it.key.name, it.value) }
            val isSettled = versions.isSettled(service, nowMs)
            PeerMessage.ServiceVersions(service, seen, isSettled, service in ambiguous)
        }
        val reply = PeerMessage.StreamReply(
            message.query,
            origin?.service,
            origin?.version?.name,
            services
        )
        send(senderIp, reply)
    }

    /** Handles a reply of the host at [senderIp]. */
    fun onReply(message: PeerMessage.StreamReply, senderIp: String) =
        queries.onReply(message, senderIp)

    /** The reply was sent after [askedAtMs]; the time of its arrival may be much later. */
    private fun learn(found: PeerMessage.ServiceVersions, askedAtMs: Long) {
        found.versions.forEach {
            val seenAtMs = askedAtMs - it.agoMs.coerceAtLeast(0)
            versions.add(found.service, setOf(SoftwareVersion(it.name)), seenAtMs)
        }
    }

    private fun check() {
        val nowMs = clock.nowMs()
        own.expire(nowMs)
        kept.expire(nowMs)
        keepers.expire(nowMs)
        updateSharedServices()
    }

    /**
     * Informs other hosts of the services that have got a second version, and of the streams that
     * keepers must know since. Should be called when targets or routes have changed, before
     * requests are sent to the new ones.
     */
    fun updateSharedServices() {
        val nowMs = clock.nowMs()
        val mixed = versions.services.filterTo(HashSet()) { versions.isMixed(it, nowMs) }
        val shared = mixed + ambiguousServices()
        if (mixed == mixedServices && shared == sharedServices) return
        val newlyMixed = mixed - mixedServices
        (newlyMixed + (mixedServices - mixed)).forEach { service ->
            val names = versions.of(service, nowMs).map { it.name }
            log.stateChange(
                "service versions",
                "service" to service,
                "mixed" to (service in mixed),
                "count" to names.size,
                "versions" to names.sorted().take(MAX_LOGGED_VERSIONS)
            )
        }
        val added = shared - sharedServices
        mixedServices = mixed
        sharedServices = shared
        newlyMixed.forEach { announce(it, nowMs) }
        // Callers take up the streams that began last for the longest time.
        own.live(nowMs).filterValues { it.service in added }.keys.reversed().forEach { id ->
            inform(id).forEach { sender.sendLater(id, it.name) }
        }
        if (shared.isEmpty()) informed.clear()
    }

    private fun announce(service: String, nowMs: Long) {
        val groups = versions.agesMs(service, nowMs).entries.sortedBy { it.value }
            .take(MAX_VERSIONS).map { (version, agoMs) ->
                val remainingMs = versions.windowMs - agoMs
                StreamSender.group(StreamOrigin(service, version), remainingMs, emptyList())
            }
        val message = PeerMessage.StreamPush(groups)
        keepers.all.shuffled(random).take(ANNOUNCED_TO).forEach { send(it.ip, message) }
    }

    /** The streams that other hosts must know, those that began last first. */
    private fun shared(nowMs: Long): List<StreamId> =
        (own.live(nowMs).filterValues { it.service in sharedServices }.keys + kept.live(nowMs).keys)
            .reversed()

    private fun inform(id: StreamId): Set<StreamKeepers.KeeperHost> =
        keepersOf(id).also { informed[StreamKeepers.slotOf(id)] = it }

    private fun keepersOf(id: StreamId) = keepers.of(StreamKeepers.slotOf(id)).toSet()

    private fun untilMs(id: StreamId): Long? {
        val nowMs = clock.nowMs()
        return own.untilMs(id, nowMs) ?: kept.untilMs(id, nowMs)
    }

    private fun sendTo(keeper: String, message: PeerMessage.StreamPush) {
        keepers.find(keeper)?.let { send(it.ip, message) }
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 500L

        /** All but some 2% of the hosts hear if each that hears tells as many. */
        const val ANNOUNCED_TO = 4

        /** More than 33 requests a second for 120 s, the longest window; some 2 MB. */
        const val MAX_OWN_STREAMS = 8_000
        const val MAX_KEPT_STREAMS = 2 * MAX_OWN_STREAMS

        /** More services than a route leads to. */
        const val MAX_SERVICES = 8

        /** Two tell that a service is mixed. */
        const val MAX_VERSIONS = 2
        const val MAX_LOGGED_VERSIONS = 8
        const val MS_PER_S = 1_000L
    }
}
