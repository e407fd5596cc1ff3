package org.bronzetide.edge.peer

import org.bronzetide.coordination.NodeId
import org.bronzetide.coordination.RendezvousHash

/** The host [self] among the hosts that it knows to be alive. */
internal class LiveHosts(private val self: NodeId, private val alive: Collection<NodeId>) {
    /**
     * Returns the position of this host, from 0, in the order in which the hosts take over [task].
     * All hosts that know the same ones compute the same order.
     */
    fun rankFor(task: String): Int =
        RendezvousHash.rank(task, (alive + self).distinct()).indexOf(self)
}
