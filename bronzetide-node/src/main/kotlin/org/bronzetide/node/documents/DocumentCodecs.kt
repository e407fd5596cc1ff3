package org.bronzetide.node.documents

import kotlinx.serialization.builtins.ListSerializer
import org.bronzetide.coordination.Document
import org.bronzetide.coordination.OwnershipMap
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.Configuration
import org.bronzetide.model.ConfirmedPlan
import org.bronzetide.model.JsonFormats
import org.bronzetide.platform.Hosts
import org.bronzetide.platform.NodeHost
import org.bronzetide.platform.TargetHost

private const val PLANS_KEY = "plans"
private const val OBJECT_PREFIX = "object/"
private const val NODE_PREFIX = "node/"
private const val TARGET_PREFIX = "target/"

/** Encodes the configuration with one entry for each object, so that deltas are small. */
internal fun Configuration.toDocument(): Document {
    val objectEntries = objects.map { (name, value) ->
        OBJECT_PREFIX + name to JsonFormats.wire.encodeToString(ConfigObject.serializer(), value)
    }
    val plans = JsonFormats.wire.encodeToString(plansSerializer, confirmedPlans)
    return Document(version, objectEntries.toMap() + (PLANS_KEY to plans))
}

/** Decodes a configuration that [Configuration.toDocument] encoded. */
internal fun Document.toConfiguration(): Configuration = Configuration(
    version = version,
    objects = entries.filterKeys { it.startsWith(OBJECT_PREFIX) }
        .mapKeys { it.key.removePrefix(OBJECT_PREFIX) }
        .mapValues { JsonFormats.wire.decodeFromString(ConfigObject.serializer(), it.value) },
    confirmedPlans = entries[PLANS_KEY]?.let {
        JsonFormats.wire.decodeFromString(plansSerializer, it)
    }.orEmpty()
)

/** Encodes the host list with one entry for each host. */
internal fun Hosts.toDocument(): Document = Document(
    revision,
    nodes.associate {
        NODE_PREFIX + it.name to JsonFormats.wire.encodeToString(NodeHost.serializer(), it)
    } +
        targets.associate {
            TARGET_PREFIX + it.id to JsonFormats.wire.encodeToString(TargetHost.serializer(), it)
        }
)

/** Decodes a host list that [Hosts.toDocument] encoded. */
internal fun Document.toHosts(): Hosts = Hosts(
    version,
    entries.filterKeys { it.startsWith(NODE_PREFIX) }.values
        .map { JsonFormats.wire.decodeFromString(NodeHost.serializer(), it) },
    entries.filterKeys { it.startsWith(TARGET_PREFIX) }.values
        .map { JsonFormats.wire.decodeFromString(TargetHost.serializer(), it) }
)

/** Encodes the ownership map at the store's [version] with one entry for each slot. */
internal fun OwnershipMap.toDocument(version: Long): Document = Document(
    version,
    slots.withIndex().associate { (index, slot) ->
        index.toString() to JsonFormats.wire.encodeToString(OwnershipMap.Slot.serializer(), slot)
    }
)

/** Decodes an ownership map that [OwnershipMap.toDocument] encoded. */
internal fun Document.toOwnershipMap(): OwnershipMap = OwnershipMap(
    entries.entries.sortedBy { it.key.toInt() }
        .map { JsonFormats.wire.decodeFromString(OwnershipMap.Slot.serializer(), it.value) }
)

private val plansSerializer = ListSerializer(ConfirmedPlan.serializer())
