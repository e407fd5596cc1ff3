package org.bronzetide.node.dispatch

import io.ktor.client.network.sockets.ConnectTimeoutException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.nio.channels.UnresolvedAddressException

/** Whether this failure occurred before a connection existed, so that no byte was sent. */
internal val Throwable.isConnectFailure: Boolean
    get() = this is ConnectException ||
        this is ConnectTimeoutException ||
        this is NoRouteToHostException ||
        this is UnresolvedAddressException
