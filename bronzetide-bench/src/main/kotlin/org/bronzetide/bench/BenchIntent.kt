package org.bronzetide.bench

import org.bronzetide.cli.DevCluster
import org.bronzetide.model.ConfigObject
import org.bronzetide.model.Intent
import org.bronzetide.model.Operation
import org.bronzetide.model.PoolKind
import org.bronzetide.node.entry.KeyDigest

/** The configuration that experiments apply before the load starts. */
internal object BenchIntent {
    /** The model served by the pool of engines. */
    const val MODEL = "style-1"

    /** The bearer key of [caller]. */
    fun keyOf(caller: String): String = "bench-key-of-$caller"

    /**
     * An intent with [callers], a model pool, a service pool and [rules]; the expected token times
     * of the model pool are divided by [speedup].
     */
    fun of(
        callers: Collection<String>,
        speedup: Double,
        rules: Map<String, ConfigObject.RuleObject> = emptyMap()
    ) = Intent(
        callers = callers.associateWith {
            ConfigObject.CallerObject(KeyDigest.of(keyOf(it)), tier = 1)
        },
        pools = mapOf(
            DevCluster.MODEL_POOL to ConfigObject.PoolObject(
                kind = PoolKind.MODEL,
                models = listOf(MODEL),
                concurrencyPerTarget = 16,
                maxQueued = 600,
                betweenTokensMs = BETWEEN_TOKENS_MS / speedup,
                firstTokenMs = FIRST_TOKEN_MS / speedup
            ),
            DevCluster.SERVICE_POOL to ConfigObject.PoolObject(
                kind = PoolKind.SERVICE,
                operations = listOf(
                    Operation("gate", "POST", "/gates"),
                    Operation("status", "POST", "/status", repeatable = true)
                ),
                concurrencyPerTarget = 64,
                maxQueued = 600
            )
        ),
        rules = rules
    )

    private const val FIRST_TOKEN_MS = 1_900.0
    private const val BETWEEN_TOKENS_MS = 46.0
}
