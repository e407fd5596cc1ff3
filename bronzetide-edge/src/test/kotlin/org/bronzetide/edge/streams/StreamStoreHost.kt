package org.bronzetide.edge.streams

import org.bronzetide.coordination.ControlLoop
import org.bronzetide.edge.state.StoreClientEnvironment
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.SampleDocuments
import org.bronzetide.platform.fleet.SocketAddress
import org.bronzetide.scheduling.fleet.SoftwareVersion
import org.bronzetide.scheduling.streams.StreamOrigin

/** What one host needs to keep versions and streams in the store, with its own client of it. */
internal class StreamStoreHost(
    private val env: StoreClientEnvironment,
    private val name: String = "h1",
    isFirstStart: Boolean = false,
    private val hostCount: Int = 1
) : VersionHistory.ObservedVersions,
    StreamSnapshots.Services,
    AutoCloseable {
    private val store = env.client(timeoutMs = 300)
    private val control = ControlLoop(env.clock)
    private val startedAtMs = env.clock.nowMs()
    private val lastSeenMs = HashMap<String, MutableMap<SoftwareVersion, Long>>()
    private val settings: HostSettings = HostSettings.parse(
        SampleDocuments.settings(name, "127.0.0.1", 1_000, SocketAddress("127.0.0.1", 1))
    ).copy(storeWritesPerS = 400.0, storeObjectBytes = 1_048_576)

    /** The versions of the targets that serve now, by service. */
    var serving: Map<String, Set<String>> = emptyMap()

    /** The services of which a route leads, or has led, to other services as well. */
    var ambiguous: Set<String> = emptySet()

    /** The position of this host among the writers. */
    var rank = 0
    val streams = HashMap<Long, StreamOrigin>()
    val budget = SnapshotBudget(settings) { hostCount }
    val history = VersionHistory(
        control,
        env.clock,
        store,
        this,
        isFirstStart,
        { rank },
        env.log,
        env.metrics
    )
    val snapshots = StreamSnapshots(
        control,
        env.clock,
        store,
        name,
        history,
        this,
        budget,
        streams::putAll,
        env.log,
        env.metrics
    )

    /** Whether the host has the manifest, which names the services. */
    var hasManifest = true

    override val services get() = if (hasManifest) setOf(APP, OTHER) else emptySet()
    override val names get() = services
    override val windowMs get() = WINDOW_MS

    override fun of(service: String, nowMs: Long): Set<SoftwareVersion> {
        val seen = lastSeenMs.getOrPut(service) { HashMap() }
        serving[service].orEmpty().forEach { seen[SoftwareVersion(it)] = nowMs }
        seen.values.removeIf { nowMs - it >= WINDOW_MS }
        return seen.keys.toSet()
    }

    override fun add(service: String, versions: Set<SoftwareVersion>, nowMs: Long) =
        versions.forEach { lastSeenMs.getOrPut(service) { HashMap() }[it] = nowMs }

    override fun isSettled(service: String, nowMs: Long) = nowMs - startedAtMs >= WINDOW_MS

    override fun onSettled(service: String) = Unit

    override fun onFirstStart() = Unit

    override fun isAmbiguous(service: String, nowMs: Long) = service in ambiguous

    override fun isShared(service: String, nowMs: Long) =
        of(service, nowMs).size > 1 || service in ambiguous

    /** Lets the host run for [durationMs]. */
    suspend fun run(durationMs: Long) = repeat((durationMs / VersionHistory.STEP_MS).toInt()) {
        env.advance(VersionHistory.STEP_MS)
        step()
    }

    suspend fun step() {
        history.step()
        snapshots.step()
    }

    suspend fun serve(service: String, vararg versions: String) = control.call {
        serving = serving + (service to versions.toSet())
    }

    suspend fun begin(ids: Iterable<Long>, service: String, version: String) = control.call {
        ids.forEach {
            snapshots.onFirstEvent(it, StreamOrigin(service, SoftwareVersion(version)))
        }
    }

    suspend fun known(service: String = APP): Set<String> = control.call {
        of(service, env.clock.nowMs()).mapTo(HashSet()) { it.name }
    }

    suspend fun isSettled(service: String = APP): Boolean = control.call {
        history.isSettled(service, env.clock.nowMs())
    }

    /** Calls the store for something else, as the watches of the process do all the time. */
    suspend fun noticeEra() {
        store.list(ObjectKinds.TARGETS)
    }

    override fun close() = control.close()

    companion object {
        const val APP = "app"
        const val OTHER = "other"
        const val WINDOW_MS = 10_000L
    }
}
