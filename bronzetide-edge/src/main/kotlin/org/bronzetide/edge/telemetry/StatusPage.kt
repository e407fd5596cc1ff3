package org.bronzetide.edge.telemetry

import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.bronzetide.scheduling.fleet.FleetScheduler
import org.bronzetide.scheduling.fleet.PromptPart

/** A status snapshot for operators, taken from memory without a call to the store. */
internal data class StatusPage(
    val node: String,
    val isReady: Boolean,
    val manifestVersion: Long,
    val requestCount: Int,
    val waitingCount: Int,
    val aggregator: String,
    val arePeerLoadsCurrent: Boolean,
    val members: List<String>,
    val targets: List<FleetScheduler.TargetView>,
    val blockedParts: Set<PromptPart>
) {
    /** Encodes the page as JSON. */
    fun toJson(): String = buildJsonObject {
        put("node", node)
        put("ready", isReady)
        put("manifestVersion", manifestVersion)
        put("requests", requestCount)
        put("waiting", waitingCount)
        put("hub", aggregator)
        put("informedOfPeers", arePeerLoadsCurrent)
        putJsonArray("members") { members.forEach { add(it) } }
        putJsonArray("blockedPromptParts") { blockedParts.forEach { add(it.id) } }
        putJsonArray("targets") {
            targets.forEach { target ->
                addJsonObject {
                    put("id", target.id)
                    put("service", target.service)
                    put("ownRequests", target.ownCount)
                    put("peerRequests", target.peerCount)
                    put("slots", target.slots)
                    put("paceFactor", target.slowdown)
                    put("leaving", target.isLeaving)
                    put("ejectedForMs", target.ejectedForMs)
                    put("suspectedByPeers", target.isSuspectedByPeers)
                    target.limitPerSecond?.let { put("limitPerSecond", it) }
                }
            }
        }
    }.toString()
}
