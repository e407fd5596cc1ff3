package org.bronzetide.edge

import java.io.ByteArrayOutputStream
import java.io.PrintStream
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.scheduling.fleet.HedgingShare

/** Guards against a process that starts with another limit than the operators meant. */
class HedgingArgumentTest {
    @Example
    fun hedgingIsOffByDefault() {
        assertThat(readHedgingShare(arrayOf("--check"))).isEqualTo(HedgingShare.OFF)
        assertThat(readHedgingShare(arrayOf("--hedging-share=0"))).isEqualTo(HedgingShare.OFF)
        assertThat(readHedgingShare(arrayOf("--hedging-share=0.02"))?.millionths)
            .isEqualTo(20_000)
    }

    @Example
    fun invalidSharesAreReported() {
        val invalid = listOf("=2", "=", "", "=-0.1", "=2%").map { listOf("--hedging-share$it") } +
            listOf(listOf("--hedging-share", "0.02")) +
            listOf(listOf("--hedging-share=0.1", "--hedging-share=0.2"))
        invalid.forEach { arguments ->
            val errors = errorsOf {
                assertThat(readHedgingShare(arguments.toTypedArray())).isNull()
            }
            assertThat(errors).contains("--hedging-share must", "from 0 to 1", arguments[0])
        }
    }

    private fun errorsOf(block: () -> Unit): String {
        val original = System.err
        val captured = ByteArrayOutputStream()
        System.setErr(PrintStream(captured, true))
        try {
            block()
        } finally {
            System.setErr(original)
        }
        return captured.toString()
    }
}
