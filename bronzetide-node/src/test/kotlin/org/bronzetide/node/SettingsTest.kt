package org.bronzetide.node

import java.io.File
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import net.jqwik.api.Example

class SettingsTest {
    @Example
    fun `settings may contain comments`() {
        val text = """
            {
              // the first of six
              "name": "node-1", "zone": "osijek-a",
              "objectApiUrl": "http://10.0.0.1", "hostListUrl": "http://10.0.0.2",
              "clusterKey": "sixteen-characters",
            }
        """.trimIndent()
        val result = Settings.parse(text)
        check(result is SettingsResult.Valid && result.settings.name == "node-1") { "$result" }
    }

    @Example
    fun `every structural error is reported`() {
        val urls = """"objectApiUrl": "u", "hostListUrl": "u""""
        val text = """{"name": 5, "port": "x", "what": 1, $urls}"""
        val errors = (Settings.parse(text) as SettingsResult.Invalid).errors
        val expected = setOf("name", "port", "what", "zone", "clusterKey")
        check(errors.map { it.path }.toSet() == expected) { "$errors" }
    }

    @Example
    fun `every invalid value is reported`() {
        val text = """
            {"name": "Bad Name", "zone": "", "objectApiUrl": "ftp://x", "hostListUrl": "http://x",
             "clusterKey": "short", "port": 99999, "policy": "best", "without": ["nothing"]}
        """.trimIndent()
        val errors = (Settings.parse(text) as SettingsResult.Invalid).errors
        val expected =
            setOf("name", "zone", "objectApiUrl", "clusterKey", "port", "policy", "without[0]")
        check(errors.map { it.path }.toSet() == expected) { "$errors" }
    }

    @Example
    fun `text that is not JSON is a single error`() {
        check((Settings.parse("{") as SettingsResult.Invalid).errors.size == 1)
    }
}

class SettingsReferenceTest {
    @Example
    fun `the settings reference lists every setting with its default`() {
        val rows = File("../docs/operations/settings.md").readLines()
            .mapNotNull { row.find(it) }
            .associate { it.groupValues[1] to it.groupValues[2] }
        check(rows.keys == Settings.serializer().descriptor.elementNames.toSet()) { "${rows.keys}" }
        check(rows.filterValues { it == "required" }.keys == required.toSet())
        val minimal = Settings("n", "z", objectApiUrl = "u", hostListUrl = "u", clusterKey = "k")
        val json = Json { encodeDefaults = true }
        val defaults = json.encodeToJsonElement(Settings.serializer(), minimal).jsonObject
        (rows - required.toSet()).forEach { (name, shown) ->
            val value = defaults.getValue(name).toString().trim('"')
            check(shown.trim('`') == value) { "$name is shown as $shown, but is $value" }
        }
    }

    private val row = Regex("""\| `(\w+)` \| (\S+) \|.*""")
    private val required = listOf("name", "zone", "objectApiUrl", "hostListUrl", "clusterKey")
}
