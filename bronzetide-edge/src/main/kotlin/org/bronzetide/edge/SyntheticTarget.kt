package org.bronzetide.edge

import org.bronzetide.http.CallerConnection
import org.bronzetide.http.Header
import org.bronzetide.platform.fleet.PlatformHeaders

/** A target for rehearsals: streams ten events on [STREAM_PATH], and responds at once elsewhere. */
internal object SyntheticTarget {
    const val STREAM_PATH = "/stream/"
    const val MAX_BODY_BYTES = 2_000
    private const val OK = 200
    private const val EVENTS = 10

    /**
     * Serves [connection] until the caller closes it.
     *
     * @throws java.io.IOException if the connection breaks.
     */
    suspend fun serve(connection: CallerConnection) {
        while (true) {
            val request = connection.receive() ?: return
            request.body.readAll(MAX_BODY_BYTES)
            val headers = listOf(
                Header(
                    PlatformHeaders.REQUEST_ID,
                    request.headers[PlatformHeaders.REQUEST_ID].orEmpty()
                ),
                Header(PlatformHeaders.SIGNATURE, "rehearsal"),
                Header(PlatformHeaders.TARGET_LOAD, "1,0,4,100")
            )
            if (request.path.startsWith(STREAM_PATH)) {
                connection.startResponse(OK, headers)
                repeat(EVENTS) { connection.sendChunk("id: $it\ndata: x\n\n".encodeToByteArray()) }
                connection.finishResponse()
            } else {
                connection.send(OK, headers, ByteArray(EVENTS))
            }
        }
    }
}
