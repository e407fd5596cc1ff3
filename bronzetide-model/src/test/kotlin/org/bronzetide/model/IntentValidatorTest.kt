package org.bronzetide.model

import net.jqwik.api.Example

class IntentValidatorTest {
    @Example
    fun `every fault is named with its place`() {
        val intent = Intent(
            callers = mapOf(
                "Bad Name" to ConfigObject.CallerObject("short", tier = 9, weight = -1.0)
            ),
            rules = mapOf("r" to ConfigObject.RuleObject(caller = "nobody", pool = "nowhere")),
            remove = listOf("tier/none")
        )
        val places = IntentValidator.validate(intent, Configuration()).map { it.path }.toSet()
        val expected = setOf(
            "caller/Bad Name",
            "caller/Bad Name.keySha256",
            "caller/Bad Name.tier",
            "caller/Bad Name.weight",
            "rule/r.caller",
            "rule/r.pool",
            "remove[tier/none]"
        )
        check(places == expected) { "$places" }
    }

    @Example
    fun `a removal that leaves a rule dangling is refused`() {
        val current = Configuration(
            objects = mapOf(
                "caller/desk" to ConfigObject.CallerObject("a".repeat(64)),
                "rule/r" to ConfigObject.RuleObject(caller = "desk")
            )
        )
        val faults = IntentValidator.validate(Intent(remove = listOf("caller/desk")), current)
        check(faults.single().message.contains("desk"))
    }

    @Example
    fun `the structure of an intent is checked at every place`() {
        val text = """{"tiers": {"a": {"level": "one"}}, "pools": {"p": {}}, "what": 1}"""
        val element = JsonFormats.settings.parseToJsonElement(text)
        val places = StructureValidator.validate(element, Intent.serializer().descriptor).map {
            it.path
        }
        check(places.toSet() == setOf("what", "tiers.a.level", "pools.p.kind")) { "$places" }
    }

    @Example
    fun `the most specific rule decides and a caller can only lower its urgency`() {
        val objects = mapOf(
            "caller/desk" to ConfigObject.CallerObject("a".repeat(64), tier = 3),
            "pool/p" to ConfigObject.PoolObject(PoolKind.MODEL, listOf("m")),
            "rule/all" to ConfigObject.RuleObject(tier = 4, deadlineMs = 9_000),
            "rule/desk" to ConfigObject.RuleObject(caller = "desk", pool = "p", tier = 2)
        )
        val current = Configuration(objects = objects)
        val policy = RequestPolicy.of(current, CallerId("desk"), PoolId("p"), null, Tier(1))
        check(policy.tier == Tier(2) && policy.deadlineMs == 9_000L)
        val lowered = RequestPolicy.of(current, CallerId("desk"), PoolId("p"), null, Tier(4))
        check(lowered.tier == Tier(4))
    }
}
