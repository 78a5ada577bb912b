package org.verbenagauge.entry.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.descriptors.elementNames
import kotlin.random.Random

private const val SEED = 20_261L
private const val MUTATIONS = 3_000

// As -Xss in deploy/system.toml.
private const val STACK_BYTES = 256L * 1_024

private val valid =
    """
    [entry]
    id = "entry-1"
    zoneId = "zone-1"
    regionId = "region-1"

    [caller]
    host = "127.0.0.1"
    port = 8080

    [operator]
    host = "127.0.0.1"
    port = 8081

    [platform]
    baseUrl = "http://127.0.0.1:9000"
    timeoutMillis = 500
    """.trimIndent()

private val tableNames =
    EntrySettings
        .serializer()
        .descriptor.elementNames
        .joinToString()

private data class SettingsCase(
    val name: String,
    val old: String,
    val new: String,
    val problem: String,
)

class SettingsReaderTest :
    FunSpec({
        test("given valid settings, when read, then every field has its value") {
            val settings = parseSettings(valid, "entry.toml").shouldBeInstanceOf<SettingsOutcome.Valid>().settings
            settings.entry.id shouldBe "entry-1"
            settings.platform.timeoutMillis shouldBe 500
        }

        context("given one mistake, when read, then one message names file, field and what to write") {
            withData(
                nameFn = { it.name },
                SettingsCase(
                    "missing field",
                    "zoneId = \"zone-1\"",
                    "",
                    "entry.zoneId: is missing; write a text in quotes",
                ),
                SettingsCase(
                    "missing table",
                    "[platform]\nbaseUrl = \"http://127.0.0.1:9000\"\ntimeoutMillis = 500",
                    "",
                    "platform: is missing; write the table [platform]",
                ),
                SettingsCase(
                    "unknown field",
                    "port = 8080",
                    "port = 8080\ncolour = 1",
                    "caller.colour: does not exist; write one of host, port, tls",
                ),
                SettingsCase(
                    "unknown table",
                    "[caller]",
                    "[colours]\nred = 1\n\n[caller]",
                    "colours: does not exist; write one of $tableNames",
                ),
                SettingsCase(
                    "wrong unit in the name",
                    "timeoutMillis = 500",
                    "timeoutSeconds = 5",
                    "platform.timeoutSeconds: does not exist; write timeoutMillis, a whole number of milliseconds",
                ),
                SettingsCase(
                    "unit in the value",
                    "timeoutMillis = 500",
                    "timeoutMillis = \"5s\"",
                    "platform.timeoutMillis: write a whole number of milliseconds, not the text '5s'",
                ),
                SettingsCase(
                    "number for a text",
                    "id = \"entry-1\"",
                    "id = 7",
                    "entry.id: write a text in quotes, not 7",
                ),
                SettingsCase(
                    "number out of range",
                    "port = 8080",
                    "port = 99999999999",
                    "caller.port: write a whole number, not 99999999999",
                ),
                SettingsCase(
                    "port out of range",
                    "port = 8080",
                    "port = 70000",
                    "caller.port: write a port from 0 to 65535",
                ),
                SettingsCase(
                    "number not positive",
                    "timeoutMillis = 500",
                    "timeoutMillis = 0",
                    "platform.timeoutMillis: write a number of at least 1",
                ),
                SettingsCase(
                    "field twice",
                    "port = 8080",
                    "port = 8080\nport = 8082",
                    "caller.port: stands more than once; keep one",
                ),
            ) { case ->
                val text = valid.replace(case.old, case.new)
                val outcome = parseSettings(text, "entry.toml").shouldBeInstanceOf<SettingsOutcome.Invalid>()
                outcome.problem shouldBe "entry.toml: ${case.problem}"
            }
        }

        context("given settings that are odd, when read on a short stack, then the outcome is one message") {
            withData(nameFn = { it.name }, oddSettings(valid)) { case ->
                val file = tempfile(suffix = ".toml")
                file.writeBytes(case.bytes)
                var outcome: SettingsOutcome? = null
                val thread = Thread(null, { outcome = readSettings(file.toPath()) }, "reader", STACK_BYTES)
                thread.start()
                thread.join()
                outcome.shouldBeInstanceOf<SettingsOutcome.Invalid>()
            }
        }

        test("given settings mutated at random, when read, then the outcome is always valid or one message") {
            val random = Random(SEED)
            repeat(MUTATIONS) {
                val outcome = parseSettings(mutate(valid, random), "entry.toml")
                if (outcome is SettingsOutcome.Invalid) outcome.problem.startsWith("entry.toml: ") shouldBe true
            }
        }
    })

private fun mutate(
    text: String,
    random: Random,
): String {
    val mutated = StringBuilder(text)
    repeat(random.nextInt(1, 6)) {
        val at = random.nextInt(mutated.length)
        when (random.nextInt(3)) {
            0 -> mutated.deleteCharAt(at)
            1 -> mutated.insert(at, "[]=\"'.#\n\\{},0a\u0000\uD83D".random(random))
            else -> mutated.setCharAt(at, Char(random.nextInt(1, 0x250)))
        }
    }
    return mutated.toString()
}
