package org.bronzetide.edge

import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment

/**
 * Entries of other writers among those of the targets. Guards against hosts that stop following the
 * entries, close callers' connections without an answer, or send requests to what is no target.
 */
class ForeignEntryTest {
    private val environment = EdgeTestEnvironment()

    @AfterTry
    fun close() = environment.close()

    @Example
    fun oddEntriesHarmNoRequest() {
        environment.startSoundTarget("t1")
        environment.writeManifest()
        environment.start()
        oddEntries.forEach { entry ->
            environment.store.write("servers", "odd", entry)
            Thread.sleep(450)
            repeat(4) {
                assertThat(environment.ask("/safe/").status).describedAs(entry).isEqualTo(200)
            }
        }
        assertThat(environment.arrivals.map { it.headers["Expect-Replica"] }).containsOnly("t1")
    }

    @Example
    fun targetsAreFollowedWhileOddEntriesAreThere() {
        environment.startSoundTarget("t1")
        oddEntries.forEachIndexed { index, entry ->
            environment.store.write("servers", "odd-$index", entry)
        }
        environment.writeManifest()
        environment.start()
        environment.startSoundTarget("t2")
        environment.writeEntry("t1", "api", 1, "draining")
        Thread.sleep(1_000)
        environment.arrivals.clear()
        repeat(10) { assertThat(environment.ask("/safe/").status).isEqualTo(200) }
        assertThat(environment.arrivals.map { it.headers["Expect-Replica"] }).containsOnly("t2")
    }

    private companion object {
        val oddEntries = listOf(
            entry(address = "127.0.0.1:65536"),
            entry(address = "127.0.0.1:-1"),
            entry(address = "127.0.0.1:99999999999"),
            entry(address = "999.0.0.1:80"),
            entry(address = "no-such-host.invalid:80"),
            entry(address = "[::zz]:80"),
            entry(slots = "99999999999999999999999"),
            entry(slots = "1e400"),
            entry(slots = "4294967297"),
            entry(slots = "2147483647"),
            entry(slots = "-4"),
            entry(zone = "[".repeat(5_000) + "]".repeat(5_000)),
            "[]",
            "7",
            "\"text\""
        )

        fun entry(address: String = "127.0.0.1:1", slots: String = "8", zone: String = "\"z1\"") =
            """{"service":"api","address":"$address","zone":$zone,"slots":$slots,
            "state":"ready","version":"v1","born":99999999999999999999}"""
    }
}
