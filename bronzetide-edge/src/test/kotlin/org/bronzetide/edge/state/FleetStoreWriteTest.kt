package org.bronzetide.edge.state

import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.platform.fleet.FleetStore
import org.bronzetide.platform.fleet.StoreEra
import org.bronzetide.platform.fleet.StoreResult
import org.bronzetide.platform.fleet.StoredObject

/** Conditional writes, and each of them at each moment of a restoration of the store. */
class FleetStoreWriteTest {
    @Example
    fun objectIsCreatedReplacedReportedOnAndDeleted() = StoreClientEnvironment.test {
        val store = client()
        assertThat(store.read(KIND, NAME)).isEqualTo(StoreResult.Done(null))
        val created = store.create(KIND, NAME, spec(1)).value()
        val replaced = store.replace(KIND, NAME, spec(2), created.revision).value()
        val reported = store.replaceStatus(KIND, NAME, spec(3), replaced.revision).value()
        assertThat(reported.body to reported.status).isEqualTo(spec(2) to spec(3))
        assertThat(store.read(KIND, NAME)).isEqualTo(StoreResult.Done(reported))
        assertThat(store.delete(KIND, NAME, reported.revision)).isEqualTo(StoreResult.Done(Unit))
        assertThat(store.read(KIND, NAME)).isEqualTo(StoreResult.Done(null))
    }

    @Example
    fun conflictNamesTheCurrentObject() = StoreClientEnvironment.test {
        val store = client()
        val created = store.create(KIND, NAME, spec(1)).value()
        writes.forEach { (call, write) ->
            val result = write(store, created.revision - 1, store.era)
            assertThat(result).describedAs(call).isEqualTo(StoreResult.Conflict(created))
        }
        assertThat(store.replace(KIND, "missing", spec(1), 5)).isEqualTo(StoreResult.Conflict())
    }

    /** Guards against a write whose revision belongs to other content since a restoration. */
    @Example
    fun writeIsNotSentIfTheEraOfItsRevisionHasEnded() = StoreClientEnvironment.test {
        val store = client()
        val created = store.create(KIND, NAME, spec(1)).value()
        standIn.takeSnapshot()
        standIn.restore()
        store.list(KIND)
        val calls = standIn.callCount
        writes.forEach { (call, write) ->
            val result = write(store, created.revision, created.era)
            assertThat(result).describedAs(call).isEqualTo(StoreResult.EraChanged(false))
        }
        assertThat(standIn.callCount).isEqualTo(calls)
    }

    @Example
    fun writeThatIsExecutedAfterARestorationIsInDoubt() = StoreClientEnvironment.test {
        writes.forEach { (call, write) ->
            val store = client()
            standIn.remove(KIND, NAME)
            val created = if (call == "create") null else store.create(KIND, NAME, spec(1)).value()
            store.list(KIND)
            standIn.takeSnapshot()
            standIn.intercept = { _, execute ->
                standIn.restore()
                execute()
            }
            val result = write(store, created?.revision ?: 0, store.era)
            standIn.intercept = { _, execute -> execute() }
            assertThat(result).describedAs(call).isEqualTo(StoreResult.EraChanged(true))
        }
    }

    /** Guards against a write that counts as done although a restoration has lost it. */
    @Example
    fun acknowledgementOfAnEarlierEraIsDropped() = StoreClientEnvironment.test {
        writes.forEach { (call, write) ->
            val store = client()
            standIn.remove(KIND, NAME)
            val created = if (call == "create") null else store.create(KIND, NAME, spec(1)).value()
            store.list(KIND)
            standIn.takeSnapshot()
            standIn.intercept = { _, execute ->
                execute().also {
                    standIn.restore()
                    standIn.intercept = { _, next -> next() }
                    store.list(KIND)
                }
            }
            val result = write(store, created?.revision ?: 0, store.era)
            assertThat(result).describedAs(call).isEqualTo(StoreResult.EraChanged(true))
        }
    }

    @Example
    fun lostResponseIsInDoubtAndARefusalIsNot() = StoreClientEnvironment.test {
        val store = client()
        val impatientStore = client(timeoutMs = 200)
        writes.forEach { (call, write) ->
            standIn.intercept = { _, _ -> null }
            val lost = write(store, 1, null) as StoreResult.Unavailable
            assertThat(lost.isInDoubt).describedAs(call).isTrue()
            standIn.intercept = { _, execute ->
                delay(400)
                execute()
            }
            val late = write(impatientStore, 1, null) as StoreResult.Unavailable
            assertThat(late.isInDoubt).describedAs(call).isTrue()
            standIn.isUnavailable = true
            val refused = write(store, 1, null) as StoreResult.Unavailable
            assertThat(refused.isInDoubt).describedAs(call).isFalse()
            standIn.isUnavailable = false
        }
    }

    @Example
    fun listenerIsCalledOncePerChangeAndNotForTheFirstEra() = StoreClientEnvironment.test {
        val store = client()
        val seen = ArrayList<StoreEra>()
        store.onEraChange = { seen += it }
        store.list(KIND)
        assertThat(store.era).isEqualTo(StoreEra(1))
        standIn.restore()
        store.list(KIND)
        store.list(KIND)
        assertThat(seen).containsExactly(StoreEra(2))
    }

    private fun StoreResult<StoredObject>.value() = (this as StoreResult.Done).value

    private companion object {
        const val KIND = "things"
        const val NAME = "a b/c"

        fun spec(value: Int): JsonObject = buildJsonObject { put("value", value) }

        val writes: Map<String, suspend (FleetStore, Long, StoreEra?) -> StoreResult<Any>> = mapOf(
            "create" to { store, _, era -> store.create(KIND, NAME, spec(9), era) },
            "replace" to { store, revision, era ->
                store.replace(KIND, NAME, spec(9), revision, era)
            },
            "replaceStatus" to { store, revision, era ->
                store.replaceStatus(KIND, NAME, spec(9), revision, era)
            },
            "delete" to { store, revision, era -> store.delete(KIND, NAME, revision, era) }
        )
    }
}
