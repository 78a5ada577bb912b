package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.http.HttpOutcome

private const val ROW = """{"Table":"my","part":"","Key":"owner","Value":"bm9kZS0x","RowVersion":412}"""

private data class StoreCase(
    val name: String,
    val status: Int,
    val body: String,
    val outcome: String,
)

private fun answered(case: StoreCase) = HttpOutcome.Answered(case.status, case.body.encodeToByteArray())

private fun text(outcome: TransactionOutcome) =
    when (outcome) {
        is TransactionOutcome.Applied ->
            "applied ${outcome.version}" +
                outcome.storeMillis?.let { ", store time $it" }.orEmpty()
        is TransactionOutcome.Conflict -> "conflict ${outcome.rows.map { it.version }}"
        is TransactionOutcome.Unavailable -> "refused"
        is TransactionOutcome.Rejected -> "rejected, ${outcome.cause}"
        is TransactionOutcome.Unknown -> "not known"
    }

private fun text(result: ReadResult<WireRows>) =
    when (result) {
        is ReadResult.Read -> "rows ${result.value.rows.size} at ${result.value.rowVersion}"
        is ReadResult.Failed -> "failed"
        is ReadResult.HistoryGone -> "history gone"
    }

class StoreAnswerTest :
    FunSpec({
        context("only a readable answer of the protocol tells what became of a transaction") {
            withData(
                nameFn = { it.name },
                StoreCase("applied", 200, """{"RowVersion":412,"CurrentTimeMs":1}""", "applied 412, store time 1"),
                StoreCase("applied at no time", 200, """{"RowVersion":412}""", "applied 412"),
                StoreCase(
                    "applied at a time of another type",
                    200,
                    """{"RowVersion":412,"CurrentTimeMs":{}}""",
                    "applied 412",
                ),
                StoreCase(
                    "applied at a time in words",
                    200,
                    """{"RowVersion":412,"CurrentTimeMs":"x"}""",
                    "applied 412",
                ),
                StoreCase("applied at no version", 200, "{}", "not known"),
                StoreCase("applied at a version of another type", 200, """{"RowVersion":"x"}""", "not known"),
                StoreCase("applied in words", 200, "ok", "not known"),
                StoreCase("a conflict", 412, """{"rows":[$ROW],"RowVersion":530}""", "conflict [412]"),
                StoreCase(
                    "a conflict with a row that does not exist",
                    412,
                    """{"rows":[],"RowVersion":530}""",
                    "conflict []",
                ),
                StoreCase("a conflict without rows", 412, "{}", "not known"),
                StoreCase("a conflict in words", 412, "no", "not known"),
                StoreCase(
                    "a conflict with a row without a version",
                    412,
                    """{"rows":[{"Table":"my","Key":"owner"}]}""",
                    "not known",
                ),
                StoreCase("refused for want of room", 507, "", "refused"),
                StoreCase("refused as too many", 429, "", "refused"),
                StoreCase("refused", 503, "", "refused"),
                StoreCase("forbidden", 403, "", "rejected, status 403: "),
                StoreCase("malformed", 400, "value too long", "rejected, status 400: value too long"),
                StoreCase(
                    "malformed, with a long text",
                    400,
                    "x".repeat(999),
                    "rejected, status 400: ${"x".repeat(200)}",
                ),
                StoreCase("too large", 413, "", "rejected, status 413: "),
                StoreCase("a fault of the store", 500, "", "not known"),
                StoreCase("a gateway without the store", 502, "", "not known"),
                StoreCase("a gateway whose store is late", 504, "", "not known"),
            ) { case -> text(readTransactionAnswer(answered(case))) shouldBe case.outcome }
        }

        context("an answer without rows and version is not an empty table") {
            withData(
                nameFn = { it.name },
                StoreCase("rows", 200, """{"rows":[$ROW],"HasMore":false,"RowVersion":530}""", "rows 1 at 530"),
                StoreCase("no row", 200, """{"rows":[],"HasMore":false,"RowVersion":530}""", "rows 0 at 530"),
                StoreCase(
                    "a row that was dropped",
                    200,
                    """{"rows":[{"Table":"my","Key":"k","RowVersion":7,"Deleted":true}],"RowVersion":530}""",
                    "rows 1 at 530",
                ),
                StoreCase("an empty object", 200, "{}", "failed"),
                StoreCase("no rows", 200, """{"RowVersion":530}""", "failed"),
                StoreCase("no version", 200, """{"rows":[]}""", "failed"),
                StoreCase(
                    "a row without a version",
                    200,
                    """{"rows":[{"Table":"my","Key":"k"}],"RowVersion":530}""",
                    "failed",
                ),
                StoreCase("words", 200, "ok", "failed"),
                StoreCase("history gone", 410, "", "history gone"),
            ) { case -> text(readRowsAnswer(answered(case))) shouldBe case.outcome }
        }
    })
