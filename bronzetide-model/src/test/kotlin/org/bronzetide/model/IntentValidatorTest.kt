package org.bronzetide.model

import net.jqwik.api.Example

class IntentValidatorTest {
    @Example
    fun `every error is reported with its path`() {
        val intent = Intent(
            callers = mapOf(
                "Bad Name" to ConfigObject.CallerObject("short", tier = 9, weight = -1.0)
            ),
            rules = mapOf("r" to ConfigObject.RuleObject(caller = "nobody", pool = "nowhere")),
            remove = listOf("tier/none")
        )
        val paths = IntentValidator.validate(intent, Configuration()).map { it.path }.toSet()
        val expected = setOf(
            "caller/Bad Name",
            "caller/Bad Name.keySha256",
            "caller/Bad Name.tier",
            "caller/Bad Name.weight",
            "rule/r.caller",
            "rule/r.pool",
            "remove[tier/none]"
        )
        check(paths == expected) { "$paths" }
    }

    @Example
    fun `removing an object that a rule refers to is an error`() {
        val current = Configuration(
            objects = mapOf(
                "caller/desk" to ConfigObject.CallerObject("a".repeat(64)),
                "rule/r" to ConfigObject.RuleObject(caller = "desk")
            )
        )
        val errors = IntentValidator.validate(Intent(remove = listOf("caller/desk")), current)
        check(errors.single().message.contains("desk"))
    }

    @Example
    fun `every structural error of an intent is reported`() {
        val text = """{"tiers": {"a": {"level": "one"}}, "pools": {"p": {}}, "what": 1}"""
        val element = JsonFormats.settings.parseToJsonElement(text)
        val paths = StructureValidator.validate(element, Intent.serializer().descriptor).map {
            it.path
        }
        check(paths.toSet() == setOf("what", "tiers.a.level", "pools.p.kind")) { "$paths" }
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
