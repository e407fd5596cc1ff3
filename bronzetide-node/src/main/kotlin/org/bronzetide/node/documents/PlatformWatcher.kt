package org.bronzetide.node.documents

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.bronzetide.coordination.Backoff
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RendezvousHash
import org.bronzetide.coordination.Versioned
import org.bronzetide.model.Configuration
import org.bronzetide.model.JsonFormats
import org.bronzetide.platform.HostList
import org.bronzetide.platform.ObjectStore
import org.bronzetide.platform.ReadResult
import org.slf4j.LoggerFactory

/** The key of the configuration in the object store. */
internal const val CONFIG_KEY = "bronzetide/config"

/**
 * Publishes changes to the platform's configuration and host list in the cluster.
 *
 * [WATCHERS_PER_ZONE] nodes of each availability zone, selected by rendezvous hashing, watch the
 * store and poll the host list. The other nodes read both only at their start, and then receive
 * changes from peers.
 */
internal class PlatformWatcher(
    private val self: NodeId,
    private val zone: String,
    private val store: ObjectStore,
    private val hostList: HostList,
    private val documents: DocumentReplicator,
    private val control: ControlLoop,
    private val eligible: () -> List<Member>
) {
    private val log = LoggerFactory.getLogger(PlatformWatcher::class.java)
    private val versionByPeer = HashMap<NodeId, Long>()

    /**
     * Whether this node has read the configuration from the store, or holds one and has received
     * the versions of half of the other eligible members, none of them newer. Once `true`, it stays
     * `true`.
     */
    @Volatile
    var isConfigurationCurrent = false
        private set

    fun start(scope: CoroutineScope) {
        scope.launch { watchConfiguration() }
        scope.launch { pollHosts() }
    }

    /**
     * Records the configuration version of [peer], so that a node can become ready while the store
     * is unavailable.
     */
    fun onPeerVersion(peer: NodeId, version: Long) {
        if (isConfigurationCurrent) return
        versionByPeer[peer] = version
        val others = eligible().count { it.id != self }
        val ownVersion = documents.current(SharedDocument.CONFIG).version
        val isConfirmedByPeers =
            versionByPeer.size * 2 >= others &&
                ownVersion > 0 &&
                ownVersion >= versionByPeer.values.max()
        if (isConfirmedByPeers) markCurrent("peers")
    }

    private suspend fun watchConfiguration() {
        val backoff = Backoff(FIRST_RETRY_MS, MAX_RETRY_MS, Random(self.hashCode()))
        var storeVersion = 0L
        while (true) {
            val isFirst = !isConfigurationCurrent
            if (!isFirst && !isWatcher()) {
                delay(NON_WATCHER_POLL_INTERVAL_MS)
                continue
            }
            val result = if (isFirst) {
                store.read(CONFIG_KEY)
            } else {
                store.watch(CONFIG_KEY, storeVersion, WATCH_TIMEOUT_MS)
            }
            when (result) {
                is ReadResult.Found -> {
                    storeVersion = result.stored.version
                    if (tryPublishConfiguration(result.stored)) {
                        backoff.reset()
                    } else {
                        delay(backoff.nextDelayMs())
                    }
                }

                is ReadResult.Missing -> control.call { markCurrent("empty store") }

                is ReadResult.Unchanged -> backoff.reset()

                is ReadResult.Unavailable -> delay(backoff.nextDelayMs())
            }
            if (result is ReadResult.Missing) delay(NON_WATCHER_POLL_INTERVAL_MS)
        }
    }

    /** Publishes the configuration in [stored]; returns `false` if it is not valid. */
    private suspend fun tryPublishConfiguration(stored: Versioned<String>): Boolean {
        val configuration = try {
            JsonFormats.wire.decodeFromString(Configuration.serializer(), stored.value)
        } catch (cause: IllegalArgumentException) {
            // The configuration in use stays; nothing would start an ended watch again.
            log.error("{} at version {} cannot be decoded", CONFIG_KEY, stored.version, cause)
            return false
        }
        control.call {
            documents.publish(SharedDocument.CONFIG, configuration.toDocument())
            markCurrent("store")
        }
        return true
    }

    private suspend fun pollHosts() {
        var isFirst = true
        while (true) {
            if (isFirst || isWatcher()) {
                hostList.fetch()?.let { hosts ->
                    isFirst = false
                    control.call { documents.publish(SharedDocument.HOSTS, hosts.toDocument()) }
                }
            }
            delay(HOST_POLL_INTERVAL_MS)
        }
    }

    private suspend fun isWatcher(): Boolean = control.call {
        val inZone = eligible().filter { it.zone == zone }.map { it.id }
        self in RendezvousHash.rank("watch/$zone", inZone).take(WATCHERS_PER_ZONE)
    }

    private fun markCurrent(source: String) {
        if (isConfigurationCurrent) return
        isConfigurationCurrent = true
        val version = documents.current(SharedDocument.CONFIG).version
        log.info("configuration version {} is current, source: {}", version, source)
    }

    private companion object {
        const val WATCHERS_PER_ZONE = 2
        const val WATCH_TIMEOUT_MS = 8_000L
        const val FIRST_RETRY_MS = 200L
        const val MAX_RETRY_MS = 2_000L
        const val NON_WATCHER_POLL_INTERVAL_MS = 500L
        const val HOST_POLL_INTERVAL_MS = 400L
    }
}
