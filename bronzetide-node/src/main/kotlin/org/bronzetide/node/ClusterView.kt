package org.bronzetide.node

import org.bronzetide.coordination.Blackboard
import org.bronzetide.coordination.Member
import org.bronzetide.coordination.OwnershipMap
import org.bronzetide.model.Configuration
import org.bronzetide.model.PoolId
import org.bronzetide.platform.Hosts
import org.bronzetide.platform.TargetHost

/** The cluster's state that the control thread publishes and request threads read. */
internal class ClusterView(private val blackboard: Blackboard) {
    /** The configuration that this node applies. */
    val configuration: Configuration get() = blackboard[CONFIGURATION]

    /** The platform's list of node and target hosts. */
    val hosts: Hosts get() = blackboard[HOSTS].hosts

    /** The known members of the cluster, dead ones included. */
    val members: List<Member> get() = blackboard[MEMBERS]

    /** The targets of [pool] in the host list. */
    fun targetsOf(pool: PoolId): List<TargetHost> = blackboard[HOSTS].byPool[pool.value].orEmpty()

    /** The host list, with its targets indexed by pool. */
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
