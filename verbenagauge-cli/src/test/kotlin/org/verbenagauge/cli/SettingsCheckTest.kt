package org.verbenagauge.cli

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.nio.file.Files

private const val GOOD =
    "[entry]\nid = \"e-1\"\nzoneId = \"z\"\n[listeners]\ncaller = \"10.0.0.1:80\"\nreadiness = \"10.0.0.1:81\"\n" +
        "[platform]\nstore = \"10.0.0.2:90\"\n"

private data class CheckCase(
    val name: String,
    val text: String?,
    val said: String,
    val exitCode: ExitCode?,
)

class SettingsCheckTest :
    FunSpec({
        context("a check of settings") {
            withData(
                nameFn = { it.name },
                CheckCase("tells what a usable file says", GOOD, "valid, entry 'e-1' in zone 'z', 1.00 cores", null),
                CheckCase(
                    "tells the processor of the machine",
                    GOOD + "[limits]\nprocessorShare = \"0.75\"\nprocessorSpeed = \"2\"\n",
                    "1.50 cores",
                    null,
                ),
                CheckCase("names the field of a mistake", GOOD + "stor = \"x\"\n", "platform.stor", ExitCode.SETTINGS),
                CheckCase("names a file that is not there", null, "cannot be read", ExitCode.SETTINGS),
            ) { case ->
                val folder = Files.createTempDirectory("settings")
                val file = folder.resolve("entry.toml")
                case.text?.let { Files.writeString(file, it) }
                val report = checkSettings(file)
                report.text shouldContain case.said
                report.exitCode shouldBe case.exitCode
            }
        }
    })
