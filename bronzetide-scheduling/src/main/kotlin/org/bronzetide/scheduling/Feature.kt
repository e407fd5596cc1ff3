package org.bronzetide.scheduling

/** The mechanisms of the scheduler that experiments can switch off. */
public enum class Feature(
    /** The name used in command-line options and settings. */
    public val label: String
) {
    /** Strict order between tiers, in serving and in shedding. */
    TIERS("tiers"),

    /** Token-weighted shares between the callers of a tier. */
    FAIRNESS("fairness"),

    /** Refusal of work that cannot meet its deadline, before its prefill. */
    FEASIBILITY("feasibility"),

    /** Output lengths estimated from finished requests. */
    ESTIMATES("estimates"),

    /** Limits on a target's concurrency that adapt to its measured time between tokens. */
    ADAPTIVE_LIMIT("adaptive-limit"),

    /** Routing to the target with the earliest predicted finish, instead of in rotation. */
    PREDICTED_FINISH("predicted-finish"),

    /** Routing to the target that has the prompt's prefix in its cache. */
    PREFIX_AFFINITY("prefix-affinity"),

    /** Placement of long requests on few targets, so that others stay free for short ones. */
    PACKING("packing"),

    /** Slots that only the two most urgent tiers may use. */
    HEADROOM("headroom"),

    /** A limit on the prompt tokens on a target whose requests have no first token yet. */
    PREFILL_BOUND("prefill-bound"),

    /** Ejection of targets after consecutive failures. */
    EJECTION("ejection")
    ;

    public companion object {
        /** Every feature. */
        public val all: Set<Feature> = entries.toSet()

        /**
         * Returns the feature named [label].
         *
         * @throws IllegalArgumentException if there is no such feature.
         */
        public fun parse(label: String): Feature = entries.find { it.label == label }
            ?: throw IllegalArgumentException(
                "unknown feature '$label'; must be one of ${entries.joinToString { it.label }}"
            )
    }
}
