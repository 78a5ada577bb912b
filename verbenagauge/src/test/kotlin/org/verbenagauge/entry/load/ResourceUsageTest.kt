package org.verbenagauge.entry.load

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class UsageCase(
    val name: String,
    val used: ResourceUsage,
    val share: Double,
)

class ResourceUsageTest :
    FunSpec({
        val total = ResourceUsage(cpuMillis = 100_000, memoryMegabytes = 200_000, gpus = 10)

        context("the dominant share is the largest share of any resource") {
            withData(
                nameFn = { it.name },
                UsageCase("nothing", ResourceUsage(0, 0, 0), 0.0),
                UsageCase("CPU", ResourceUsage(50_000, 20_000, 1), 0.5),
                UsageCase("memory", ResourceUsage(10_000, 150_000, 2), 0.75),
                UsageCase("GPUs", ResourceUsage(10_000, 20_000, 9), 0.9),
            ) { it.used.dominantShare(total) shouldBe it.share }
        }

        test("a resource that no worker has is ignored") {
            ResourceUsage(10, 10, 3).dominantShare(ResourceUsage(100, 1_000, 0)) shouldBe 0.1
        }
    })
