package org.verbenagauge.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Path

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
                output.readLine() shouldBe "held"
                // Unlike the process itself, its handle leaves the output open.
                process.toHandle().destroy()
                output.readLine() shouldBe "entry-stopping"
                output.readLine() shouldBe "served"
                process.waitFor() shouldBe 0
            } finally {
                process.destroyForcibly()
            }
        }
    })
