package org.bronzetide.coordination

import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property

/**
 * Deltas are delivered in random order and some are lost. A replica must never go back to an older
 * version, nor hold entries that differ from the origin at the same version.
 */
class DocumentReplicaProperties {
    @Property(tries = 500, seed = "21")
    fun `replica versions never decrease and match the origin at each version`(@ForAll seed: Long) {
        val random = Random(seed)
        val origin = DocumentReplica()
        val replica = DocumentReplica()
        val history = HashMap<Long, Map<String, String>>()
        val inFlight = ArrayList<DocumentDelta>()
        repeat(200) {
            when (random.nextInt(4)) {
                0 -> {
                    val next = change(random, origin.current)
                    inFlight += origin.offer(next)!!
                    history[next.version] = next.entries
                }

                1, 2 -> if (inFlight.isNotEmpty()) {
                    val before = replica.current.version
                    val result = replica.offer(inFlight.removeAt(random.nextInt(inFlight.size)))
                    if (result is DocumentReplica.Result.Gap) {
                        origin.deltaSince(replica.current.version)?.let { inFlight += it }
                    }
                    check(replica.current.version >= before)
                }

                else -> if (inFlight.isNotEmpty()) inFlight.removeAt(0)
            }
            val version = replica.current.version
            check(version == 0L || replica.current.entries == history[version])
        }
        origin.deltaSince(replica.current.version)?.let { replica.offer(it) }
        check(replica.current == origin.current)
    }

    @Example
    fun `an older document is not adopted`() {
        val replica = DocumentReplica()
        replica.offer(Document(5, mapOf("a" to "new")))
        check(replica.offer(Document(4, mapOf("a" to "old"))) == null)
        check(replica.current.entries == mapOf("a" to "new"))
    }

    private fun change(random: Random, document: Document): Document {
        val name = "e${random.nextInt(6)}"
        val entries = if (random.nextInt(3) == 0) {
            document.entries - name
        } else {
            document.entries + (name to random.nextInt(100).toString())
        }
        return Document(document.version + 1 + random.nextInt(2), entries)
    }
}
