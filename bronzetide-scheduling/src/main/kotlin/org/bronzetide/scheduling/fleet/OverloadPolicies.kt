package org.bronzetide.scheduling.fleet

import kotlin.random.Random

/** The overload policy of each service. */
internal class OverloadPolicies(private val random: Random) {
    private val policies = HashMap<String, OverloadPolicy>()

    fun of(service: String): OverloadPolicy = policies.getOrPut(service) { OverloadPolicy(random) }
}
