package org.verbenagauge.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.io.BufferedReader
import java.nio.file.Path

// The log of the entry goes to the same output, one JSON object a line.
private fun BufferedReader.nextLineOfProbe(): String? =
    generateSequence { readLine() }.firstOrNull { !it.startsWith("{") }

class TerminationTest :
    FunSpec({
        test("given a running request, when the process gets SIGTERM, then it is served and the process exits with 0") {
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val classPath = System.getProperty("java.class.path")
            val process =
                ProcessBuilder(java, "-Xmx128m", "-cp", classPath, "org.verbenagauge.standin.TerminationProbeKt")
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start()
            try {
                val output = process.inputStream.bufferedReader()
                output.nextLineOfProbe() shouldBe "held"
                // Unlike the process itself, its handle leaves the output open.
                process.toHandle().destroy()
                output.nextLineOfProbe() shouldBe "entry-stopping"
                output.nextLineOfProbe() shouldBe "served"
                process.waitFor() shouldBe 0
            } finally {
                process.destroyForcibly()
            }
        }
    })
