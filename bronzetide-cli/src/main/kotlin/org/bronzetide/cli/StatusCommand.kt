package org.bronzetide.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.mordant.rendering.TextColors
import kotlinx.coroutines.delay
import org.bronzetide.node.operator.ClusterStatus
import org.bronzetide.node.operator.NodeStatus
import org.bronzetide.node.operator.PoolStatus

/** `bronzetide status`: shows nodes, pools, queues and recent refusals. */
class StatusCommand : OperatorCommand("status") {
    private val isWatching by option("--watch", help = "show it again every 2 seconds").flag()

    override fun help(context: Context): String =
        "Shows nodes, pools, queues by tier, configuration versions, targets and recent refusals."

    override suspend fun execute(client: OperatorClient) {
        do {
            val status = client.status()
            if (isJson) echoJson(ClusterStatus.serializer(), status) else show(status)
            if (isWatching) delay(WATCH_INTERVAL_MS)
        } while (isWatching)
    }

    private fun show(status: ClusterStatus) {
        val newestVersion = status.nodes.maxOfOrNull { it.configurationVersion } ?: 0
        echo("nodes")
        status.nodes.forEach { showNode(it, newestVersion) }
        status.silentNodes.forEach { echo("  " + TextColors.red("$it does not answer")) }
        echo("pools")
        status.nodes.flatMap { node -> node.pools.map { node.node to it } }
            .sortedBy { it.second.pool }
            .forEach { (node, pool) -> showPool(node, pool) }
        val refusals = status.nodes.flatMap { it.recentRefusals }.groupBy { it.reason }
            .mapValues { entry -> entry.value.sumOf { it.count } }
        echo("refusals in the last minute" + if (refusals.isEmpty()) ": none" else "")
        refusals.entries.sortedByDescending {
            it.value
        }.forEach { echo("  ${it.value}  ${it.key}") }
    }

    private fun showNode(node: NodeStatus, newestVersion: Long) {
        val readiness = if (node.isReady) TextColors.green("ready") else TextColors.red("not ready")
        val version = "configuration ${node.configurationVersion}"
        val shown = if (node.configurationVersion < newestVersion) {
            TextColors.yellow("$version (old)")
        } else {
            version
        }
        echo(
            "  ${node.node}  ${node.zone}  $readiness  $shown  requests ${node.requestsInside}  " +
                "ledger ${node.ledgerBuffered} unwritten"
        )
    }

    private fun showPool(arbiter: String, pool: PoolStatus) {
        val queued = pool.queuedByTier.withIndex().joinToString(" ") {
            "t${it.index + 1}:${it.value}"
        }
        echo(
            "  ${pool.pool}/${pool.shard}  running ${pool.running}  queued $queued  " +
                "arbiter $arbiter"
        )
        pool.targets.forEach { target ->
            val stateLabel = when {
                target.isLeaving -> TextColors.yellow("  leaving")
                target.isEjected -> TextColors.red("  ejected")
                else -> ""
            }
            echo("    ${target.target}  ${target.inFlight} of ${target.limit}$stateLabel")
        }
    }

    private companion object {
        const val WATCH_INTERVAL_MS = 2_000L
    }
}
