package org.bronzetide.node

import org.bronzetide.coordination.Blackboard
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.OwnershipMap
import org.bronzetide.model.Configuration
import org.bronzetide.model.PoolId
import org.bronzetide.platform.Hosts
import org.bronzetide.platform.TargetHost

/** What the control thread writes for the traffic threads to read. */
internal class ClusterView(private val blackboard: Blackboard) {
    /** The configuration in force. */
    val configuration: Configuration get() = blackboard[CONFIGURATION]

    /** The host list. */
    val hosts: Hosts get() = blackboard[HOSTS].hosts

    /** The members of the cluster. */
    val members: List<Member> get() = blackboard[MEMBERS]

    /** The targets of [pool]. */
    fun targetsOf(pool: PoolId): List<TargetHost> = blackboard[HOSTS].byPool[pool.value].orEmpty()

    /** The host list with its targets by pool. */
    data class IndexedHosts(val hosts: Hosts) {
        val byPool: Map<String, List<TargetHost>> = hosts.targets.groupBy { it.pool }
    }

    companion object {
        val CONFIGURATION = Blackboard.Key("configuration", Configuration())
        val HOSTS = Blackboard.Key("hosts", IndexedHosts(Hosts()))
        val OWNERSHIP = Blackboard.Key("ownership", OwnershipMap())
        val MEMBERS = Blackboard.Key("members", emptyList<Member>())
    }
}
