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

private const val PLANS = "plans"
private const val OBJECT = "object/"
private const val NODE = "node/"
private const val TARGET = "target/"

/** The configuration as entries, one for each object, so that a change is small. */
internal fun Configuration.toDocument(): Document {
    val named = objects.map { (name, value) ->
        OBJECT + name to JsonFormats.wire.encodeToString(ConfigObject.serializer(), value)
    }
    val plans = JsonFormats.wire.encodeToString(plansSerializer, confirmedPlans)
    return Document(version, named.toMap() + (PLANS to plans))
}

/** The configuration that [Configuration.toDocument] made this document from. */
internal fun Document.toConfiguration(): Configuration = Configuration(
    version = version,
    objects = entries.filterKeys { it.startsWith(OBJECT) }
        .mapKeys { it.key.removePrefix(OBJECT) }
        .mapValues { JsonFormats.wire.decodeFromString(ConfigObject.serializer(), it.value) },
    confirmedPlans = entries[PLANS]?.let {
        JsonFormats.wire.decodeFromString(plansSerializer, it)
    }.orEmpty()
)

/** The host list as entries, one for each host. */
internal fun Hosts.toDocument(): Document = Document(
    revision,
    nodes.associate {
        NODE + it.name to JsonFormats.wire.encodeToString(NodeHost.serializer(), it)
    } +
        targets.associate {
            TARGET + it.id to JsonFormats.wire.encodeToString(TargetHost.serializer(), it)
        }
)

/** The host list that [Hosts.toDocument] made this document from. */
internal fun Document.toHosts(): Hosts = Hosts(
    version,
    entries.filterKeys { it.startsWith(NODE) }.values
        .map { JsonFormats.wire.decodeFromString(NodeHost.serializer(), it) },
    entries.filterKeys { it.startsWith(TARGET) }.values
        .map { JsonFormats.wire.decodeFromString(TargetHost.serializer(), it) }
)

/** The ownership map at the store's [version] as entries, one for each slot. */
internal fun OwnershipMap.toDocument(version: Long): Document = Document(
    version,
    slots.withIndex().associate { (index, slot) ->
        index.toString() to JsonFormats.wire.encodeToString(OwnershipMap.Slot.serializer(), slot)
    }
)

/** The map that [OwnershipMap.toDocument] made this document from. */
internal fun Document.toOwnershipMap(): OwnershipMap = OwnershipMap(
    entries.entries.sortedBy { it.key.toInt() }
        .map { JsonFormats.wire.decodeFromString(OwnershipMap.Slot.serializer(), it.value) }
)

private val plansSerializer = ListSerializer(ConfirmedPlan.serializer())
