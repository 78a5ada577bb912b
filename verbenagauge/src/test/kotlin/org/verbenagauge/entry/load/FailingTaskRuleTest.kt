package org.verbenagauge.entry.load

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class FailureCase(
    val name: String,
    val failure: FailedRun,
    val isLikelyTaskFault: Boolean,
)

class FailingTaskRuleTest :
    FunSpec({
        context("the task is blamed if the worker completes other work") {
            withData(
                nameFn = { it.name },
                FailureCase("other job completed", FailedRun(1, 2, 500, null), isLikelyTaskFault = true),
                FailureCase("other job failed, then completed", FailedRun(1, 2, 500, 2_000), isLikelyTaskFault = true),
                FailureCase("other job completed, then failed", FailedRun(1, 2, 2_000, 500), isLikelyTaskFault = false),
                FailureCase("other job completed long ago", FailedRun(1, 2, 6_000, null), isLikelyTaskFault = false),
                FailureCase("no results of other jobs", FailedRun(1, 2, null, null), isLikelyTaskFault = false),
                FailureCase("other job completed, first worker", FailedRun(1, 1, 500, null), isLikelyTaskFault = false),
                FailureCase("second failure on any worker", FailedRun(2, 2, null, 100), isLikelyTaskFault = true),
            ) { FailingTaskRule.isLikelyTaskFault(it.failure) shouldBe it.isLikelyTaskFault }
        }

        test("the baseline never blames the task") {
            AlwaysRetry.isLikelyTaskFault(FailedRun(2, 2, 0, null)) shouldBe false
        }
    })
