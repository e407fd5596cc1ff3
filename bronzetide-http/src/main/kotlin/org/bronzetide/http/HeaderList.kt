package org.bronzetide.http

import io.ktor.http.cio.HttpHeadersMap

/** One header field. */
public data class Header(val name: String, val value: String)

/** The header fields of a message in their original order. Names are case-insensitive. */
public class HeaderList(private val entries: List<Header>) : Iterable<Header> {
    /** The first value of [name], or `null` if the field is absent. */
    public operator fun get(name: String): String? =
        entries.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** All values of [name], in order. */
    public fun all(name: String): List<String> =
        entries.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    /** Whether the comma-separated values of [name] contain [token]. */
    public fun hasToken(name: String, token: String): Boolean = all(name).any { value ->
        value.split(',').any { it.trim().equals(token, ignoreCase = true) }
    }

    /**
     * The headers to forward, without those that apply to one connection only: the hop-by-hop ones
     * of RFC 9110, section 7.6.1, those that `Connection` names, `Content-Length` and `Expect`.
     */
    public fun endToEnd(): List<Header> {
        val named = all("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
        return entries.filter { it.name.lowercase().let { n -> n !in hopByHop && n !in named } }
    }

    override fun iterator(): Iterator<Header> = entries.iterator()

    internal companion object {
        private val hopByHop = setOf(
            "connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer",
            "upgrade", "content-length", "expect", "proxy-authorization", "proxy-authenticate"
        )

        fun of(map: HttpHeadersMap): HeaderList = HeaderList(
            map.offsets().map {
                Header(map.nameAtOffset(it).toString(), map.valueAtOffset(it).toString())
            }.toList()
        )
    }
}
