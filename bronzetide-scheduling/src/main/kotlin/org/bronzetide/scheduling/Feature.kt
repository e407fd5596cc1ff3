package org.bronzetide.scheduling

/** The mechanisms of the scheduler that an experiment can switch off. */
public enum class Feature(
    /** The name used on command lines. */
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

    /** Limits on a target's concurrency that follow its measured speed. */
    ADAPTIVE_LIMIT("adaptive-limit"),

    /** Routing to the target with the earliest predicted finish, instead of in turn. */
    PREDICTED_FINISH("predicted-finish"),

    /** Routing to the target that has the prompt's beginning in its cache. */
    PREFIX_AFFINITY("prefix-affinity"),

    /** Long requests together on few targets, so that short ones find others unloaded. */
    PACKING("packing"),

    /** Places that only the two most urgent tiers may take. */
    HEADROOM("headroom"),

    /** A bound on the prompts that a target has taken and not begun to answer. */
    PREFILL_BOUND("prefill-bound"),

    /** Ejection of targets that fail or are far slower than their peers. */
    EJECTION("ejection")
    ;

    public companion object {
        /** Every feature. */
        public val all: Set<Feature> = entries.toSet()

        /**
         * The feature named [label].
         *
         * @throws IllegalArgumentException if there is none.
         */
        public fun parse(label: String): Feature = entries.find { it.label == label }
            ?: throw IllegalArgumentException(
                "No feature is named '$label'; there are ${entries.joinToString { it.label }}"
            )
    }
}
