package org.bronzetide.edge.state

import org.bronzetide.coordination.Blackboard
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.Changes
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.ObjectKinds
import org.bronzetide.platform.fleet.StoredObject

/** Keeps the newest manifest on the blackboard; an older version never replaces it. */
internal class ManifestCache(
    private val board: Blackboard,
    private val control: ControlLoop,
    private val log: DecisionLog
) : StoreWatcher.Observer {
    override suspend fun onListing(listing: Listing) = applyIfNewer(listing.objects, "listing")

    override suspend fun onChanges(changes: Changes) = applyIfNewer(changes.changed, "watch")

    /** The stored objects from which the current manifest was decoded, for peers. */
    @Volatile
    var objects: List<StoredObject> = emptyList()
        private set

    /** Applies the manifest in [found] if it is newer than the current one. */
    suspend fun applyIfNewer(found: List<StoredObject>, source: String) {
        val manifest = ObjectKinds.decodeManifest(found) ?: return
        control.call {
            val known = board[BlackboardKeys.manifest].firstOrNull()
            if (known == null || manifest.version > known.version) {
                objects = found
                board[BlackboardKeys.manifest] = listOf(manifest)
                log.stateChange(
                    "manifest applied",
                    "version" to manifest.version,
                    "before" to known?.version,
                    "source" to source,
                    "routes" to manifest.routes.size,
                    "accounts" to manifest.accounts.size
                )
            }
        }
    }
}
