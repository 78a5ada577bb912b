package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf

private const val GOOD =
    "[entry]\nid = \"e\"\nzoneId = \"z\"\n[listeners]\ncaller = \"10.0.0.1:80\"\nreadiness = \"10.0.0.1:81\"\n" +
        "[platform]\nstore = \"10.0.0.2:90\"\n"

private data class SettingsCase(
    val name: String,
    val text: String,
    val problem: String,
)

class PlatformSettingsTest :
    FunSpec({
        test("settings with the least that is needed are valid") {
            val outcome = parsePlatformSettings(GOOD, "f.toml")
            outcome
                .shouldBeInstanceOf<PlatformSettingsOutcome.Valid>()
                .settings.limits.leaseMaxMillis shouldBe 6_000
        }

        test("what stands in comments and texts counts neither as nesting nor as a key") {
            val comment = "# ${"[{".repeat(9)} ${"a.".repeat(20)}\n"
            val text = comment + GOOD.replace("\"e\"", "\"${"[".repeat(20)}${".".repeat(20)}\"")
            parsePlatformSettings(text, "f.toml").shouldBeInstanceOf<PlatformSettingsOutcome.Valid>()
        }

        context("the processor of a machine is its share times its speed") {
            withData(
                nameFn = { (text, cores) -> "$cores from ${text.lines()}" },
                "" to 1.0,
                "[limits]\nprocessorShare = \"0.75\"\nprocessorSpeed = \"2\"\n" to 1.5,
                "[limits]\nprocessorShare = \"\"\nprocessorSpeed = \"\"\n" to 1.0,
            ) { (text, cores) ->
                val outcome = parsePlatformSettings(GOOD + text, "f.toml")
                outcome
                    .shouldBeInstanceOf<PlatformSettingsOutcome.Valid>()
                    .settings.limits.cores shouldBe cores
            }
        }

        context("a mistake gives one message with file, field and mend") {
            withData(
                nameFn = { it.name },
                SettingsCase("unknown field", GOOD + "stor = \"x\"\n", "f.toml: platform.stor"),
                SettingsCase("no address", GOOD.replace("10.0.0.2:90", "store"), "f.toml: platform.store: write an"),
                SettingsCase("missing table", GOOD.replace("[platform]\nstore = \"10.0.0.2:90\"\n", ""), "f.toml: "),
                SettingsCase("blank id", GOOD.replace("\"e\"", "\"\""), "f.toml: entry.id: write a name"),
                SettingsCase(
                    "no number",
                    GOOD + "[limits]\nprocessorShare = \"half\"\n",
                    "f.toml: limits.processorShare: write a number",
                ),
                SettingsCase(
                    "no processor",
                    GOOD + "[limits]\nprocessorSpeed = \"0\"\n",
                    "f.toml: limits.processorSpeed: write a number",
                ),
                SettingsCase("no TOML", "[[[", "f.toml: is not valid TOML"),
                SettingsCase("a port past the last", GOOD.replace(":90", ":70000"), "f.toml: platform.store: write an"),
                SettingsCase("a negative port", GOOD.replace(":90", ":-1"), "f.toml: platform.store: write an"),
                SettingsCase(
                    "a number past any",
                    GOOD + "[limits]\nleaseMaxMillis = 99999999999999999999\n",
                    "f.toml: ",
                ),
                SettingsCase(
                    "a lease past any time",
                    GOOD + "[limits]\nleaseMaxMillis = 9223372036854775807\n",
                    "f.toml: limits.leaseMaxMillis: write a number",
                ),
                SettingsCase(
                    "a stop past any time",
                    GOOD + "[limits]\nstopMillis = 9223372036854775807\n",
                    "f.toml: limits.stopMillis: write a number",
                ),
                SettingsCase(
                    "a processor past any",
                    GOOD + "[limits]\nprocessorShare = \"1e300\"\n",
                    "f.toml: limits.processorShare: write a number",
                ),
            ) { case ->
                val outcome = parsePlatformSettings(case.text, "f.toml")
                outcome.shouldBeInstanceOf<PlatformSettingsOutcome.Invalid>().problem shouldStartWith case.problem
            }
        }
    })
