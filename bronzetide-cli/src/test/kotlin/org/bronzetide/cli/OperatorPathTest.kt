package org.bronzetide.cli

import kotlinx.coroutines.delay
import net.jqwik.api.Example
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.Intent
import org.bronzetide.model.JsonFormats
import org.bronzetide.platform.HttpObjectStore
import org.bronzetide.platform.ReadResult
import org.bronzetide.platform.WriteResult
import org.bronzetide.standins.StoreFault

/**
 * Plans and confirms through real nodes, concurrently and during faults of the store. Guards
 * against confirms that overwrite another change or report a wrong result, and against nodes that
 * start with an old configuration.
 */
class OperatorPathTest {
    @Example
    fun `of two concurrent plans for one object one is confirmed and one conflicts`() =
        TestCluster.run(2) { test ->
            val first = plan(test, 0, deadlineMs = 11_000)
            val second = plan(test, 1, deadlineMs = 12_000)
            check(test.operator(0).confirm(first).result == "confirmed")
            val refused = test.operator(1).confirm(second)
            check(
                refused.result == "conflict" && refused.differences.single().name == "tier/urgent"
            )
            check(test.operator(1).confirm(first).result == "already-done")
        }

    @Example
    fun `a confirm whose response was lost is read back`() = TestCluster.run(2) { test ->
        val plan = plan(test, 0, deadlineMs = 11_000)
        test.cluster.store.fault = StoreFault.LostResponses
        check(test.operator().confirm(plan).result == "confirmed")
        test.cluster.store.fault = StoreFault.None
        check(test.operator().confirm(plan).result == "already-done")
    }

    @Example
    fun `a confirm during an outage changes nothing and says so`() = TestCluster.run(1) { test ->
        val plan = plan(test, 0, deadlineMs = 11_000)
        val before = test.cluster.store.storedValue("bronzetide/config")
        test.cluster.store.fault = StoreFault.Unavailable
        check(test.operator().confirm(plan).result == "unavailable")
        check(test.cluster.store.storedValue("bronzetide/config") == before)
    }

    @Example
    fun `a node that starts in an outage takes the newest configuration from its peers`() =
        TestCluster.run(3) { test ->
            val confirmed = test.operator().confirm(plan(test, 0, deadlineMs = 11_000))
            test.await("spread") {
                test.cluster.nodes.all { it.configurationVersion == confirmed.version }
            }
            test.cluster.store.fault = StoreFault.Unavailable
            val newNode = test.cluster.addNode(9)
            test.await("ready") { newNode.isReady }
            check(newNode.configurationVersion == confirmed.version)
        }

    /** Guards against a watch that ends for good at a value that it cannot decode. */
    @Example
    fun `a node follows the configuration after one that it cannot decode`() =
        TestCluster.run(1) { test ->
            val store = HttpObjectStore(test.http, test.cluster.store.url)
            val valid = store.read(CONFIG_KEY) as ReadResult.Found
            val invalid = store.write(CONFIG_KEY, """{"version":"one"}""", valid.stored.version)
            check(invalid is WriteResult.Written)
            delay(500)
            val version = test.cluster.nodes.single().configurationVersion
            val newer = valid.stored.value.replace(
                "\"version\":$version",
                "\"version\":${version + 1}"
            )
            check(store.write(CONFIG_KEY, newer, invalid.version) is WriteResult.Written)
            test.await("followed") {
                test.cluster.nodes.single().configurationVersion == version + 1
            }
        }

    private suspend fun plan(test: TestCluster, node: Int, deadlineMs: Long) = requireNotNull(
        test.operator(node).plan(
            JsonFormats.settings.encodeToString(
                Intent.serializer(),
                Intent(tiers = mapOf("urgent" to ConfigObject.TierObject(1, deadlineMs)))
            )
        ).plan
    )

    private companion object {
        const val CONFIG_KEY = "bronzetide/config"
    }
}
