package org.bronzetide.edge.belief

import org.bronzetide.coordination.Blackboard
import org.bronzetide.coordination.ControlLoop
import org.bronzetide.edge.telemetry.DecisionLog
import org.bronzetide.platform.fleet.Changes
import org.bronzetide.platform.fleet.FleetKinds
import org.bronzetide.platform.fleet.Listing
import org.bronzetide.platform.fleet.Manifest

/** Keeps the newest manifest on the blackboard; an older one never replaces it. */
internal class ManifestKeeper(
    private val board: Blackboard,
    private val control: ControlLoop,
    private val log: DecisionLog
) : StoreFollower.Observer {
    override suspend fun onListing(listing: Listing) =
        offer(FleetKinds.manifestIn(listing.objects), "listing")

    override suspend fun onChanges(changes: Changes) =
        offer(FleetKinds.manifestIn(changes.changed), "watch")

    /** Takes [manifest] if it is newer than the one in force. */
    suspend fun offer(manifest: Manifest?, source: String) {
        if (manifest == null) return
        control.call {
            val known = board[Beliefs.manifest].firstOrNull()
            if (known == null || manifest.version > known.version) {
                board[Beliefs.manifest] = listOf(manifest)
                log.belief(
                    "manifest in force",
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
