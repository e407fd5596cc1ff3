package org.bronzetide.edge.relay

/**
 * What two hosts say to each other when one sends a request to a target by way of the other.
 *
 * The sender is a host that cannot reach the target itself. It has admitted the request and holds
 * its place at the target; the relay sends the request to that target, at most once, and passes the
 * response on. A relayed request is never relayed again.
 *
 * The request is the one that the target is to get, with the headers below. They are removed before
 * it is sent. Each response of a relay has the header [RESULT].
 */
internal object RelayProtocol {
    /** The id of the target that is to get the request. */
    const val TARGET = "Relay-Target"

    /** The start of the target, [org.bronzetide.platform.fleet.TargetEntry.startHash]. */
    const val START = "Relay-Start"

    /** The id of the sender's process, which only members of the fleet know. */
    const val FROM = "Relay-From"

    /** Present if the request must not be sent on a connection that the target may be closing. */
    const val FRESH = "Relay-Fresh"

    /** What became of the request, the text of a [Result]. */
    const val RESULT = "Relay-Result"

    /** What became of a relayed request. */
    enum class Result(val text: String) {
        /** The response is the target's. Without its last chunk it is not complete. */
        RESPONDED("responded"),

        /** Nothing was sent: the relay has lost its targets too, and another one may reach it. */
        CUT_OFF("cut-off"),

        /** Nothing was sent: the relay takes no requests at present, and another one may. */
        UNAVAILABLE("unavailable"),

        /** Nothing was sent: nothing listens at the target's address. */
        REFUSED("refused"),

        /** Nothing was sent: the target does not accept a connection in time. */
        UNREACHABLE("unreachable"),

        /** Nothing was sent: the relay does not know this start of the target. */
        UNKNOWN_TARGET("unknown-target"),

        /** Nothing was sent: the target leaves, or wants no requests from the relay for now. */
        UNWANTED("unwanted"),

        /** The request was sent, and no valid response arrived. */
        FAILED("failed"),

        /** The request was sent, and the target ended before a response arrived. */
        CRASHED("crashed");

        companion object {
            /** Returns the result with [text], or `null` if there is none. */
            fun of(text: String?): Result? = entries.find { it.text == text }
        }
    }
}
