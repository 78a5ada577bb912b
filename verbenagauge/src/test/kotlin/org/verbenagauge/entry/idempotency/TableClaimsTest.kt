package org.verbenagauge.entry.idempotency

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.EndpointAnswer
import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.Verdict
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.fake.FakeClock
import org.verbenagauge.fake.FakeRows
import org.verbenagauge.fake.FakeTableService
import org.verbenagauge.fake.WriteFault
import kotlin.random.Random

private const val SCHEDULES = 1_000L
private const val SETTLE_MILLIS = 60_000L

private class ClaimingEntry(
    rows: FakeRows,
) {
    val table = FakeTableService(rows)
    val settlements = ClaimSettlements(table, EventLog("entry"))
    val claims = TableClaims(table, FakeClock(), settlements)
}

private fun job(
    requestId: String,
    body: String = "lot 7",
) = Job(requestId, "inspections", null, "key-1", null, "text/plain", body.encodeToByteArray())

private suspend fun ClaimingEntry.claim(job: Job) = claims.claim(job, "large", "key-1")

private fun served(body: ByteArray = byteArrayOf(1)) = JobAnswer(Reason.SERVED, EndpointAnswer(200, null, body))

class TableClaimsTest :
    FunSpec({
        context("given a job that one entry has claimed, when it is sent again through another, then it does not run") {
            withData(
                nameFn = { it.name },
                RepeatCase("still running", answer = null, reason = Reason.JOB_IN_PROGRESS),
                RepeatCase("has run", served(), reason = Reason.SERVED),
                RepeatCase("large answer", served(ByteArray(20_000)), reason = Reason.JOB_ALREADY_RAN),
                RepeatCase("outcome unknown", JobAnswer(Reason.ANSWER_TIMEOUT), reason = Reason.ANSWER_TIMEOUT),
                RepeatCase("other body", served(), body = "lot 8", reason = Reason.IDEMPOTENCY_KEY_REUSED),
            ) { case ->
                runTest {
                    val rows = FakeRows()
                    val first = ClaimingEntry(rows)
                    val granted = first.claim(job("r1")).shouldBeInstanceOf<ClaimOutcome.Granted>()
                    case.answer?.let { first.claims.settle(granted.claim, it) }
                    runSettlements(first)
                    val repeated = ClaimingEntry(rows).claim(job("r2", case.body))
                    repeated.shouldBeInstanceOf<ClaimOutcome.Answered>().answer.reason shouldBe case.reason
                }
            }
        }

        test("given a request that did not run, when the job is sent again, then it may run") {
            runTest {
                val entry = ClaimingEntry(FakeRows())
                val granted = entry.claim(job("r1")).shouldBeInstanceOf<ClaimOutcome.Granted>()
                entry.claims.settle(granted.claim, JobAnswer(Reason.NO_ENDPOINT))
                runSettlements(entry)
                entry.claim(job("r2")).shouldBeInstanceOf<ClaimOutcome.Granted>()
            }
        }

        test("given an unavailable table service, when a job with an idempotency key arrives, then it does not run") {
            runTest {
                val entry = ClaimingEntry(FakeRows()).apply { table.down = true }
                val answer = entry.claim(job("r1")).shouldBeInstanceOf<ClaimOutcome.Answered>().answer
                answer.verdict shouldBe Verdict.NOT_RUN
                answer.retryAfterMillis.shouldNotBeNull()
            }
        }

        test(
            "given random lost answers, late writes and time-outs, when a job is repeated, then it runs at most once",
        ) {
            (1..SCHEDULES).forEach { seed ->
                withClue("seed $seed") { ClaimSchedule(seed).run() shouldBeLessThanOrEqual 1 }
            }
        }
    })

private class RepeatCase(
    val name: String,
    val answer: JobAnswer?,
    val reason: Reason,
    val body: String = "lot 7",
)

private suspend fun TestScope.runSettlements(entry: ClaimingEntry) {
    withTimeoutOrNull(SETTLE_MILLIS) { entry.settlements.run() }
}

/** One job that is sent repeatedly through three entries, with faults determined by [seed]. */
private class ClaimSchedule(
    seed: Long,
) {
    private val random = Random(seed)
    private val rows = FakeRows()
    private val entries = List(3) { ClaimingEntry(rows) }
    private var runs = 0

    /** Returns the number of requests that ran or may have run. */
    fun run(): Int {
        runTest {
            val settlementJobs = entries.map { backgroundScope.launch { it.settlements.run() } }
            repeat(6) { index -> launch { send("r$index") } }
            repeat(10) {
                launch {
                    delay(random.nextLong(5_000))
                    entries.random(random).table.landDelayed()
                }
            }
            settlementJobs.size shouldBe entries.size
        }
        return runs
    }

    private suspend fun send(requestId: String) {
        delay(random.nextLong(4_000))
        val entry = entries.random(random)
        val callerTimeoutMillis = if (random.nextInt(4) == 0) random.nextLong(1, 60) else Long.MAX_VALUE
        withTimeoutOrNull(callerTimeoutMillis) {
            repeat(3) { entry.table.writeFaults += WriteFault.entries.random(random) }
            entry.table.beforeWrite = { if (random.nextInt(3) == 0) entries.random(random).table.landDelayed() }
            val outcome = entry.claim(job(requestId))
            if (outcome is ClaimOutcome.Granted) runGranted(entry, outcome.claim)
        }
    }

    private suspend fun runGranted(
        entry: ClaimingEntry,
        claim: Claim,
    ) {
        val answer = listOf(JobAnswer(Reason.NO_ENDPOINT), JobAnswer(Reason.ANSWER_TIMEOUT), served()).random(random)
        if (answer.verdict != Verdict.NOT_RUN) runs++
        delay(random.nextLong(500))
        entry.claims.settle(claim, answer)
    }
}
