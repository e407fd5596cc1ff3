package org.bronzetide.edge

import java.io.BufferedInputStream
import java.io.InputStream
import java.io.OutputStream
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat
import org.bronzetide.edge.standin.EdgeTestEnvironment

/**
 * Requests at each moment of their life while the configuration changes, at targets of each kind.
 * Guards against requests that a change leaves with neither an answer nor a refusal (LOST).
 */
class ConfigurationChangeTest {
    enum class Moment {
        HEAD_HALF_READ,
        BODY_HALF_READ,
        WAITING,
        SENT,
        FIRST_EVENT,
        BETWEEN,
        RESUMED
    }

    /** What targets do after the change; an early one responds before it reads the body. */
    enum class Behaviour { SOUND, SILENT, CUT, UNFRAMED, EARLY }

    private enum class Change(val apply: EdgeTestEnvironment.() -> Unit) {
        ROUTE_MOVED({
            writeManifest(2, ROUTES.replace("\"service\":\"api\"", "\"service\":\"sound\""))
        }),
        ROUTES_REMOVED({ writeManifest(2, OTHER_ROUTE) }),
        TIMEOUTS_SHORTENED({ writeManifest(2, ROUTES.replace("_ms\":1500", "_ms\":300")) }),
        TARGETS_REMOVED({
            listOf("api", "model", "model2").forEach { store.remove("servers", it) }
        }),
        TARGETS_LEAVE({ listOf("api", "model", "model2").forEach { setState(it, "draining") } }),
        LIMITS_LOWERED({
            rewriteManifest { it.replace("100000,", "10,").replace("15000}", "200}") }
        }),
        ACCOUNT_REMOVED({ rewriteManifest { it.replace("key-1", "key-2") } }),
        SECOND_MANIFEST_AND_RELOAD({
            writeManifest(2, OTHER_ROUTE)
            node.reload(settings)
            writeManifest(3, ROUTES)
            node.reload(settings)
        }),
        CHANGES_IN_SERIES({
            repeat(20) {
                writeManifest(2 + it, if (it % 2 == 0) OTHER_ROUTE else ROUTES)
                Thread.sleep(10)
            }
        })
    }

    @Example
    fun eachRequestGetsOneEndWhateverChangesMeanwhile() {
        val violations = Change.entries.flatMap { change ->
            Fixture().use { fixture -> fixture.run(change).map { "$change, $it" } }
        }
        assertThat(violations).isEmpty()
    }

    private class Fixture : AutoCloseable {
        private val environment = EdgeTestEnvironment()
        private val executor = Executors.newCachedThreadPool()
        private val changed = CountDownLatch(1)
        private val targets = listOf("api" to 100, "model" to 100, "model2" to 100, "slow" to 1)
            .map { (name, slots) -> Target(name, slots) }

        fun run(change: Change): List<String> {
            targets.forEach {
                environment.store.write(
                    "servers",
                    it.name,
                    """{"service":"${serviceOf(it.name)}","zone":"z1","slots":${it.slots},
                        "address":"127.0.0.1:${it.server.localPort}","state":"ready"}"""
                )
            }
            environment.writeManifest(routes = ROUTES)
            environment.start()
            val blocker = executor.submit(Callable { ask(Moment.WAITING, Behaviour.SOUND) })
            Thread.sleep(100)
            val ends = Moment.entries.flatMap { moment ->
                Behaviour.entries.map { behaviour ->
                    val end = executor.submit(Callable { ask(moment, behaviour) })
                    Triple(moment, behaviour, end)
                }
            }
            Thread.sleep(300)
            change.apply(environment)
            Thread.sleep(150)
            changed.countDown()
            blocker.get(5, TimeUnit.SECONDS)
            return ends.mapNotNull { (moment, behaviour, end) ->
                violationOf(moment, behaviour, end.get(5, TimeUnit.SECONDS))
                    ?.let { "$moment, $behaviour: $it" }
            }
        }

        /** Sends a request and returns all bytes until the connection ends. */
        private fun ask(moment: Moment, behaviour: Behaviour): String =
            Socket("127.0.0.1", environment.settings.callerAddress.port).use { socket ->
                socket.soTimeout = 4_000
                val head =
                    "POST ${pathOf(moment)}$behaviour/$moment HTTP/1.1\r\n" +
                        "Host: h.example\r\n" +
                        "Request-Id: $moment-$behaviour\r\nX-Api-Key: key-1\r\n" +
                        "Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 40\r\n\r\n"
                val bytes = (head + "b".repeat(40)).toByteArray()
                val firstPart = when (moment) {
                    Moment.HEAD_HALF_READ -> head.length / 2
                    Moment.BODY_HALF_READ -> head.length + 20
                    else -> bytes.size
                }
                socket.getOutputStream().write(bytes, 0, firstPart)
                if (firstPart < bytes.size) {
                    changed.await()
                    socket.getOutputStream().write(bytes, firstPart, bytes.size - firstPart)
                }
                readAll(socket.getInputStream())
            }

        private fun pathOf(moment: Moment) = when (moment) {
            Moment.WAITING -> "/slow/"
            Moment.FIRST_EVENT, Moment.BETWEEN, Moment.RESUMED -> "/stream/"
            else -> "/unsafe/"
        }

        override fun close() {
            environment.close()
            targets.forEach { it.server.close() }
            executor.shutdownNow()
        }

        /** A target on plain sockets, whose behaviour the path of each request tells. */
        private inner class Target(val name: String, val slots: Int) {
            val server = ServerSocket(0)

            init {
                executor.execute {
                    try {
                        while (true) server.accept().let { executor.execute { it.use(::serve) } }
                    } catch (_: SocketException) {
                        // The test has closed the server.
                    }
                }
            }

            private fun serve(socket: Socket) = try {
                val input = BufferedInputStream(socket.getInputStream())
                while (true) if (!respond(input, socket.getOutputStream())) break
            } catch (_: SocketException) {
                // The host has closed the connection.
            }

            private fun respond(input: InputStream, output: OutputStream): Boolean {
                val lines = generateSequence {
                    readLine(input)
                }.takeWhile { it.isNotEmpty() }.toList()
                if (lines.isEmpty()) return false
                val headers = lines.drop(1).associate {
                    it.substringBefore(": ") to
                        it.substringAfter(": ")
                }
                val behaviour = Behaviour.entries.first { "/$it/" in lines[0] }
                val moment = Moment.entries.first { it.name in lines[0] }
                val length = headers["Content-Length"]?.toInt() ?: 0
                if (behaviour != Behaviour.EARLY) input.readNBytes(length)
                val head = "HTTP/1.1 200 OK\r\nRequest-Id: ${headers["Request-Id"]}\r\n" +
                    "Response-Signature: s\r\n"
                val isWhole = if ("/stream/" in lines[0]) {
                    stream(output, head, behaviour, moment, headers["Last-Event-Id"])
                } else {
                    changed.await()
                    answer(output, head, behaviour)
                }
                if (behaviour == Behaviour.EARLY) input.readNBytes(length)
                return isWhole
            }

            private fun answer(output: OutputStream, head: String, behaviour: Behaviour): Boolean {
                if (behaviour == Behaviour.SILENT) Thread.sleep(SILENT_MS)
                val framing = if (behaviour == Behaviour.UNFRAMED) "" else "Content-Length: 6\r\n"
                val body = if (behaviour == Behaviour.CUT) "ans" else "answer"
                output.write("$head$framing\r\n$body".toByteArray())
                return behaviour == Behaviour.SOUND || behaviour == Behaviour.EARLY
            }

            private fun stream(
                output: OutputStream,
                head: String,
                behaviour: Behaviour,
                moment: Moment,
                resumedAfter: String?
            ): Boolean {
                val isChunked = behaviour != Behaviour.UNFRAMED
                fun send(id: Int) {
                    val event = EdgeTestEnvironment.event(id)
                    val chunk = "${event.length.toString(16)}\r\n$event\r\n"
                    output.write((if (isChunked) chunk else event).toByteArray())
                }
                if (moment == Moment.FIRST_EVENT) changed.await()
                val framing = if (isChunked) "Transfer-Encoding: chunked\r\n" else ""
                output.write("$head$framing\r\n".toByteArray())
                val next = (resumedAfter?.toInt() ?: 0) + 1
                send(next)
                if (moment == Moment.RESUMED && resumedAfter == null) {
                    // Without a frame, only an end within an event shows that the stream was cut.
                    output.write("id: ".toByteArray())
                    return false
                }
                changed.await()
                if (behaviour == Behaviour.CUT) return false
                if (behaviour == Behaviour.SILENT) Thread.sleep(SILENT_MS)
                (next + 1..EVENTS).forEach(::send)
                if (isChunked) output.write("0\r\n\r\n".toByteArray())
                return isChunked
            }
        }
    }

    private companion object {
        const val EVENTS = 4
        const val SILENT_MS = 3_000L
        val OTHER_ROUTE = route("other", "idempotent", "sound")
        val ROUTES = listOf(
            route("unsafe", "non_idempotent", "api"),
            route("slow", "non_idempotent", "sound"),
            route("stream", "streaming", "model")
        ).joinToString(",")

        fun route(name: String, kind: String, service: String) =
            """{"name":"$name","host":"h.example","path_prefix":"/$name/","kind":"$kind",
                "timeout_ms":1500,"target_latency_ms":400,"priority":1,"service":"$service",
                "max_attempts":2,"resumable":true,"gap_target_ms":100}"""

        fun EdgeTestEnvironment.rewriteManifest(edit: (String) -> String) =
            store.edit("config", "main") { edit(it).replace("\"version\":1", "\"version\":2") }

        fun EdgeTestEnvironment.setState(name: String, state: String) =
            store.edit("servers", name) { it.replace("\"ready\"", "\"$state\"") }

        fun serviceOf(target: String) = when (target) {
            "slow" -> "sound"
            "model2" -> "model"
            else -> target
        }

        fun readLine(input: InputStream): String? {
            val line = StringBuilder()
            while (true) {
                val byte = input.read()
                if (byte < 0) return null
                if (byte == '\n'.code) return line.toString().trimEnd('\r')
                line.append(byte.toChar())
            }
        }

        fun readAll(input: InputStream): String = try {
            input.readAllBytes().decodeToString()
        } catch (_: SocketException) {
            // A reset; what was read before it is lost to this reader.
            ""
        }

        /** Returns what is wrong with the end of a request, [received] by its caller, or `null`. */
        fun violationOf(moment: Moment, behaviour: Behaviour, received: String): String? {
            if (received.isEmpty()) return "no answer"
            val head = received.substringBefore("\r\n\r\n")
            val body = received.substringAfter("\r\n\r\n")
            val status = head.split(' ')[1].toInt()
            val length = head.lines().firstOrNull { it.startsWith("Content-Length: ") }
                ?.substringAfter(": ")?.toInt()
            val isComplete = if (length ==
                null
            ) {
                body.endsWith("\r\n0\r\n\r\n")
            } else {
                body.length == length
            }
            val events = Regex("id: (\\d+)").findAll(body).map {
                it.groupValues[1].toInt()
            }.toList()
            val isWhole = length != null || events == (1..EVENTS).toList()
            val mayBeCut = behaviour != Behaviour.SOUND && behaviour != Behaviour.EARLY
            val isBegun = moment >= Moment.SENT
            return when {
                status !in STATUSES -> "status $status"
                "HTTP/1.1" in body -> "two answers: $received"
                length != null && !isComplete -> "part of an answer: $received"
                isComplete && !isWhole -> "wrong stream that looks complete: $events"
                !isComplete && !mayBeCut -> "cut: $received"
                isBegun && !mayBeCut && status != 200 -> "status $status at a sound target"
                else -> null
            }
        }

        val STATUSES = setOf(200, 401, 404, 408, 413, 429, 502, 503, 504)
    }
}
