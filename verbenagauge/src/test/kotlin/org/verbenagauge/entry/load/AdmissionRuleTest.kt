package org.verbenagauge.entry.load

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe

private const val QUEUE = "q"
private const val OBJECTIVE_MILLIS = 3_000L
private const val CHAIN_MILLIS = 1_000L

// The result is useful if the job starts within 8 s, and on time if it starts within 2 s.
private fun request(
    team: String,
    id: String = "job",
    refusals: Int = 0,
) = AdmissionRequest(id, QUEUE, team, CHAIN_MILLIS, OBJECTIVE_MILLIS, refusals)

private fun view(
    waitMillis: Long,
    hasExpiries: Boolean = false,
    ageMillis: Long = 300,
) = PressureView(
    LoadPressure(mapOf(QUEUE to QueuePressure(waitMillis, waitMillis, hasExpiries, hasExpiries)), mapOf("large" to 0)),
    ageMillis,
)

private data class RuleCase(
    val name: String,
    val view: PressureView?,
    val team: String = "small",
    val refusals: Int = 0,
    val isAccepted: Boolean,
)

class AdmissionRuleTest :
    FunSpec({
        context("a job is refused only if its result would almost certainly be useless") {
            withData(
                nameFn = { it.name },
                RuleCase("no load figures", null, isAccepted = true),
                RuleCase("no wait for the queue", PressureView(LoadPressure(), 0), isAccepted = true),
                RuleCase("late but useful", view(7_900), isAccepted = true),
                RuleCase("late but useful, surplus", view(7_900), "large", isAccepted = true),
                RuleCase("useless, surplus", view(8_100), "large", isAccepted = false),
                RuleCase("useless within the share, but below the margin", view(11_900), isAccepted = true),
                RuleCase("useless within the share", view(12_100), isAccepted = false),
                RuleCase(
                    "accepted jobs have expired: late, surplus",
                    view(2_100, true),
                    "large",
                    isAccepted = false,
                ),
                RuleCase(
                    "accepted jobs have expired: on time, surplus",
                    view(1_900, true),
                    "large",
                    isAccepted = true,
                ),
                RuleCase(
                    "accepted jobs have expired: within the share, below the margin",
                    view(2_900, true),
                    isAccepted = true,
                ),
                RuleCase(
                    "accepted jobs have expired: late within the share",
                    view(3_100, true),
                    isAccepted = false,
                ),
                RuleCase(
                    "refused before, so preferred",
                    view(2_300, true),
                    "large",
                    refusals = 1,
                    isAccepted = true,
                ),
                RuleCase(
                    "the view is too old to refuse",
                    view(60_000, true, ageMillis = 2_001),
                    "large",
                    isAccepted = true,
                ),
            ) { case ->
                val isAccepted =
                    ExpectedWaitAdmission.decide(
                        request(case.team, refusals = case.refusals),
                        case.view,
                    ) is AdmissionDecision.Accept
                isAccepted shouldBe case.isAccepted
            }
        }

        test("entries with views of different age each decide by their own, and the one with the old view accepts") {
            val decisions =
                listOf(
                    400L,
                    2_500L,
                ).map { ExpectedWaitAdmission.decide(request("large"), view(9_000, ageMillis = it)) }
            decisions.map { it is AdmissionDecision.Accept } shouldBe listOf(false, true)
        }

        test("the published fraction of an account with surplus counts as within its share, the same at each entry") {
            val pressure = LoadPressure(mapOf(QUEUE to QueuePressure(100, 60_000)), mapOf("large" to 200))
            val accepted =
                (0 until 1_000).count {
                    ExpectedWaitAdmission.decide(
                        request("large", "job-$it"),
                        PressureView(pressure, 0),
                    ) is AdmissionDecision.Accept
                }
            accepted shouldBeGreaterThanOrEqualTo 150
            accepted shouldBeLessThanOrEqualTo 250
        }

        test("jobs refused together retry at spread whole seconds while still useful, and sooner after more refusals") {
            val times =
                (0 until 200).map {
                    val decision =
                        ExpectedWaitAdmission.decide(request("large", "job-$it"), view(4_000, hasExpiries = true))
                    (decision as AdmissionDecision.Refuse).retryAfterMillis
                }
            times.all { it % 1_000 == 0L } shouldBe true
            times.min() shouldBeGreaterThanOrEqualTo 1_000
            times.max() shouldBeLessThanOrEqualTo 8_000
            // Two seconds of excess work, spread over another two.
            times.groupingBy { it }.eachCount().keys shouldBe setOf(3_000L, 4_000L)
            times.count { it == 3_000L } shouldBeGreaterThanOrEqualTo 70
            times.count { it == 3_000L } shouldBeLessThanOrEqualTo 130
            computeRetryAfterMillis(request("large", refusals = 3), 2_000, 8_000) shouldBeLessThanOrEqualTo 3_000
        }

        test("load figures of 36 queues and 120 surplus accounts take at most 4 KB, and empty ones at most 2 bytes") {
            val byQueue =
                (1..36).associate {
                    "queue-$it" to
                        QueuePressure(123_456, 123_456, true, true, 1_234, 1_234_567)
                }
            val full = LoadPressure(byQueue, (1..120).associate { "account-$it" to 999 }, 499)
            encode(full).size shouldBeLessThanOrEqualTo 4_096
            encode(LoadPressure()).size shouldBeLessThanOrEqualTo 2
        }
    })
