package org.bronzetide.coordination

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.assertj.core.api.Assertions.assertThat

/** The order of nodes for a name. */
class RendezvousHashProperties {
    /** Guards against hosts that compute another order of the first nodes than of all. */
    @Property(tries = 200)
    fun topIsTheBeginningOfRank(
        @ForAll name: String,
        @ForAll nodes: Set<String>,
        @ForAll @IntRange(min = 0, max = 5) count: Int
    ) {
        assertThat(RendezvousHash.top(name, nodes, count))
            .isEqualTo(RendezvousHash.rank(name, nodes).take(count))
    }
}
