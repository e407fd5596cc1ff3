package org.bronzetide.edge.peer

import org.bronzetide.coordination.Member
import org.bronzetide.scheduling.fleet.BoundedName

/**
 * Keeps texts and numbers of messages between hosts within bounds, when they are sent and when they
 * are received: names come from the store, callers and hosts of other versions.
 *
 * A name that is too long is never cut, which could make it that of something else. The entry is
 * left out, except for versions and parts of prompts, which [BoundedName] replaces by a hash on
 * each host. Entries with numbers out of range are left out as well.
 */
internal class PeerMessageLimits(
    /** Called with the message's kind, the list and the number of entries that are left out. */
    private val onLeftOut: (kind: String, list: String, count: Int) -> Unit
) {
    /** Returns [message] within the bounds, or `null` if nothing of it can be used. */
    fun bounded(message: PeerMessage): PeerMessage? = when (message) {
        is PeerMessage.Probe -> probe(message)
        is PeerMessage.Report -> report(message)
        is PeerMessage.Summary -> summary(message)
        is PeerMessage.Grants -> grants(message)
        is PeerMessage.StreamPush -> push(message)
        is PeerMessage.StreamQuery -> query(message)
        is PeerMessage.StreamReply -> reply(message)
        is PeerMessage.Fragment -> message
    }

    private fun probe(message: PeerMessage.Probe): PeerMessage? {
        if (!isValid(message.probe.sender)) return reject(message, "sender")
        return message.copy(
            probe = message.probe.copy(
                rumors = message.probe.rumors.keep(message, "rumors", ::isValid),
                memberCount = message.probe.memberCount.coerceIn(0, MAX_HOSTS)
            )
        )
    }

    private fun report(message: PeerMessage.Report): PeerMessage? {
        if (!isName(message.host)) return reject(message, "host")
        return message.copy(
            loads = message.loads.keep(message, "loads", ::isValid),
            quotas = message.quotas.keep(message, "quotas", ::isValid),
            suspects = message.suspects.keep(message, "suspects", ::isName),
            slowdowns = message.slowdowns.keep(message, "slowdowns", ::isValid),
            demands = message.demands.keep(message, "demands", ::isValid),
            crashes = message.crashes?.let { crashes(message, it) },
            statements = message.statements?.let { statements(message, it) },
            rollouts = message.rollouts?.let { rollouts(message, it) }
        )
    }

    private fun summary(message: PeerMessage.Summary): PeerMessage? {
        if (!isName(message.aggregator)) return reject(message, "aggregator")
        return message.copy(
            loads = message.loads.keep(message, "loads", ::isValid),
            quotas = message.quotas.keep(message, "quotas", ::isValid),
            hostCount = message.hostCount.coerceIn(0, MAX_HOSTS),
            suspects = message.suspects.keep(message, "suspects", ::isName),
            slowdowns = message.slowdowns.keep(message, "slowdowns", ::isValid),
            aggregatorAgeMs = message.aggregatorAgeMs.coerceAtLeast(0),
            demands = message.demands.keep(message, "demands", ::isValid),
            crashes = message.crashes?.let { crashes(message, it) },
            statements = message.statements?.let { statements(message, it) },
            quotaLevels = message.quotaLevels?.keep(message, "quota levels", ::isValid),
            rollouts = message.rollouts?.let { rollouts(message, it) }
        )
    }

    private fun grants(message: PeerMessage.Grants): PeerMessage? {
        if (!isName(message.aggregator)) return reject(message, "aggregator")
        return message.copy(
            quotas = message.quotas.keep(message, "quotas", ::isValid),
            hostCount = message.hostCount.coerceIn(0, MAX_HOSTS),
            aggregatorAgeMs = message.aggregatorAgeMs.coerceAtLeast(0),
            quotaLevels = message.quotaLevels?.keep(message, "quota levels", ::isValid)
        )
    }

    private fun push(message: PeerMessage.StreamPush): PeerMessage? {
        val sound = message.groups.keep(message, "groups") {
            isName(it.service) && it.remainingS >= 0
        }
        if (sound.isEmpty() && message.groups.isNotEmpty()) return null
        return PeerMessage.StreamPush(
            sound.map {
                val version = BoundedName.of(it.version)
                PeerMessage.StreamGroup(it.service, version, it.remainingS, it.ids)
            }
        )
    }

    private fun query(message: PeerMessage.StreamQuery): PeerMessage = message.copy(
        services = message.services.keep(message, "services", ::isName).take(MAX_SERVICES)
    )

    private fun reply(message: PeerMessage.StreamReply): PeerMessage {
        val hasService = message.service?.let(::isName) ?: false
        return message.copy(
            service = message.service.takeIf { hasService },
            version = message.version?.takeIf { hasService }?.let(BoundedName::of),
            services = message.services.keep(message, "services") { isName(it.service) }
                .take(MAX_SERVICES)
                .map { found -> found.copy(versions = found.versions.map(::seenVersion)) }
        )
    }

    private fun seenVersion(version: PeerMessage.SeenVersion) =
        PeerMessage.SeenVersion(BoundedName.of(version.name), version.agoMs.coerceAtLeast(0))

    private fun crashes(message: PeerMessage, crashes: PeerMessage.Crashes) = PeerMessage.Crashes(
        crashes.runs.keep(message, "crashed runs") {
            isName(it.target) && isAge(it.startedAgoMs) && isAge(it.endedAgoMs)
        }.map { run -> run.copy(parts = run.parts.map(BoundedName::of)) },
        crashes.served.keep(message, "served parts") { isAge(it.agoMs) }
            .map { it.copy(part = BoundedName.of(it.part)) }
    )

    private fun statements(message: PeerMessage, statements: PeerMessage.Statements) =
        statements.copy(
            limits = statements.limits.keep(message, "limits") {
                isName(it.target.id) &&
                    (it.perKiloSecond ?: 1) in 1..MAX_UNITS &&
                    isAge(it.askedAgoMs) &&
                    isAge(it.heardAgoMs)
            },
            sendDemands = statements.sendDemands.keep(message, "send demands") {
                isName(it.service) && isCount(it.waiting) && isCount(it.expected)
            },
            permits = statements.permits.keep(message, "permits") {
                isName(it.target.id) && isCount(it.count)
            },
            departures = statements.departures.keep(message, "departures") { isName(it.id) },
            brittle = statements.brittle.keep(message, "brittle services") {
                isName(it.service) &&
                    it.refusalsPerKiloSecond in 0..MAX_UNITS &&
                    isAge(it.statedAgoMs)
            }
        )

    private fun rollouts(message: PeerMessage, rollouts: List<PeerMessage.Rollout>) =
        rollouts.keep(message, "rollouts") {
            isName(it.service) && isName(it.to) && it.durationMs >= 0 && it.elapsedMs >= 0
        }.map { rollout ->
            rollout.copy(
                evidence = rollout.evidence.take(MAX_EVIDENCE_CHARS),
                routes = rollout.routes.keep(message, "routes", ::isValid),
                failures = rollout.failures.keep(message, "failures") {
                    isName(it.target) && it.count in 0..MAX_UNITS
                }
            )
        }

    private fun isValid(it: Member): Boolean = isName(it.id.value) &&
        isName(it.zone) &&
        isName(it.host) &&
        it.incarnation in 0..MAX_UNITS &&
        it.cpuCores.isFinite()

    private fun isValid(it: PeerMessage.Load): Boolean =
        isName(it.target) && isCount(it.count) && it.promptTokens in 0..MAX_UNITS

    private fun isValid(it: PeerMessage.QuotaTotal): Boolean = isAccount(it.account) &&
        it.units in -MAX_UNITS..MAX_UNITS &&
        it.unitsAtLastUpdate in -MAX_UNITS..MAX_UNITS

    private fun isValid(it: PeerMessage.QuotaLevel): Boolean =
        isAccount(it.account) && it.units in -MAX_UNITS..MAX_UNITS

    private fun isValid(it: PeerMessage.Slowdown): Boolean =
        isName(it.target) && it.percent in 0..MAX_PERCENT && isCount(it.samples)

    private fun isValid(it: PeerMessage.Demand): Boolean = isName(it.service) && isCount(it.count)

    private fun isValid(it: PeerMessage.RouteResponses): Boolean = isName(it.route) &&
        listOf(it.ended, it.failures, it.answered).all { count -> count in 0..MAX_UNITS }

    private fun isName(text: String): Boolean = text.length <= BoundedName.MAX_CHARS

    private fun isAccount(text: String): Boolean = text.length <= MAX_ACCOUNT_CHARS

    private fun isCount(count: Int): Boolean = count in 0..MAX_COUNT

    private fun isAge(agoMs: Long): Boolean = agoMs >= -MAX_AHEAD_MS

    private fun reject(message: PeerMessage, what: String): PeerMessage? {
        onLeftOut(message.kind, what, 1)
        return null
    }

    private fun <T> List<T>.keep(
        message: PeerMessage,
        list: String,
        isSound: (T) -> Boolean
    ): List<T> {
        if (all(isSound)) return this
        return filter(isSound).also { onLeftOut(message.kind, list, size - it.size) }
    }

    private companion object {
        /** A quota that does not arrive is exceeded, so that longer names are taken. */
        const val MAX_ACCOUNT_CHARS = 1_024

        /** More services than a route leads to. */
        const val MAX_SERVICES = 8
        const val MAX_EVIDENCE_CHARS = 100
        const val MAX_HOSTS = 100_000

        /** The counts of 2,100 hosts add up to less than the largest `Int`. */
        const val MAX_COUNT = 1_000_000

        /** The units, tokens and responses of any number of hosts add up without overflow. */
        const val MAX_UNITS = 1L shl 50
        const val MAX_PERCENT = 100_000

        /** The clocks of threads of one host may differ by less. */
        const val MAX_AHEAD_MS = 60_000L
    }
}
