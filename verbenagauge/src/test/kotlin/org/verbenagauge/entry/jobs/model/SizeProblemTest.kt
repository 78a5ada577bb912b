package org.verbenagauge.entry.jobs.model

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class SizeCase(
    val name: String,
    val taskCounts: List<Int>,
    val repetitions: Int = 0,
    val isAccepted: Boolean,
)

private data class BoundsCase(
    val name: String,
    val specification: JobSpecification,
    val isWithinBounds: Boolean = false,
    val isAccepted: Boolean = false,
)

private fun oneStep(change: StepSpecification.() -> StepSpecification) =
    JobSpecification("text", listOf(StepSpecification(1, Amount()).change()))

class SizeProblemTest :
    FunSpec({
        context("a job is accepted only when its size is within the limits") {
            withData(
                nameFn = { it.name },
                SizeCase("one task", listOf(1), isAccepted = true),
                SizeCase("the maximum number of tasks", listOf(4_000, 6_000), isAccepted = true),
                SizeCase("no tasks", listOf(0), isAccepted = false),
                SizeCase("one step with too many tasks", listOf(Int.MAX_VALUE), isAccepted = false),
                SizeCase("many steps with many tasks each", List(8) { 10_000 }, isAccepted = false),
                SizeCase("a year of occurrences", listOf(1), repetitions = 100_000, isAccepted = true),
                SizeCase("too many occurrences", listOf(1), repetitions = Int.MAX_VALUE, isAccepted = false),
            ) { case ->
                val steps = case.taskCounts.map { StepSpecification(it, Amount()) }
                val problem = sizeProblem(JobSpecification("text", steps, case.repetitions, 0, 1))
                (problem == null) shouldBe case.isAccepted
            }
        }

        context("a job is accepted only when each of its numbers is one that a job can mean") {
            withData(
                nameFn = { it.name },
                BoundsCase("the largest processor", oneStep { copy(amount = Amount(Long.MAX_VALUE)) }),
                BoundsCase("negative processor", oneStep { copy(amount = Amount(-1)) }),
                BoundsCase("the largest memory", oneStep { copy(amount = Amount(memoryMegabytes = Long.MAX_VALUE)) }),
                BoundsCase("negative accelerators", oneStep { copy(amount = Amount(gpus = -1)) }),
                BoundsCase("the longest estimate", oneStep { copy(estimatedMillis = Long.MAX_VALUE) }),
                BoundsCase("the longest target", oneStep { copy(latencyTargetMillis = Long.MAX_VALUE) }),
                BoundsCase("a negative number that may be missed", oneStep { copy(mayMiss = -1) }),
                BoundsCase("a step that waits for itself", oneStep { copy(dependsOn = listOf(0)) }),
                BoundsCase("a first run past any time", oneStep { this }.copy(firstRunUnixMillis = Long.MAX_VALUE)),
                BoundsCase("an interval past any time", oneStep { this }.copy(intervalMillis = Long.MAX_VALUE)),
                BoundsCase("negative repetitions", oneStep { this }.copy(repetitions = -1)),
                BoundsCase("a lasting gang", oneStep { copy(isGang = true, isLasting = true) }, isWithinBounds = true),
                BoundsCase("occurrences at one time", oneStep { this }.copy(repetitions = 2), isWithinBounds = true),
                BoundsCase("one task", oneStep { this }, isWithinBounds = true, isAccepted = true),
            ) { case ->
                (boundsProblem(case.specification) == null) shouldBe case.isWithinBounds
                (specificationProblem(case.specification) == null) shouldBe case.isAccepted
            }
        }
    })
