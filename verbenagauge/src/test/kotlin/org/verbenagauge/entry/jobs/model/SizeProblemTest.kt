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
    })
