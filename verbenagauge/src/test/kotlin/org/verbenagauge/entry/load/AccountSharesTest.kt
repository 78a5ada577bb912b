package org.verbenagauge.entry.load

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val ACCOUNT = "depot"
private const val START_MILLIS = 1_000_000_000_000L

private class Row(
    val id: String,
    val unixMillis: Long,
    val readAtMillis: Long,
)

/** Returns the status of each of [rows] as one owner computes it. */
private fun statuses(
    rows: List<Row>,
    weight: Double,
): Map<String, ShareStatus> {
    val shares = AccountShares()
    val statuses = rows.associateTo(HashMap()) { it.id to ShareStatus.WITHIN_SHARE }
    shares.setWeight(ACCOUNT, weight)
    rows.forEach { row ->
        shares.recordSubmission(ACCOUNT, row.id, row.unixMillis, row.readAtMillis).forEach {
            statuses[it.id] = it.share
        }
    }
    return statuses
}

private fun rowsEvery(
    millis: Long,
    forMillis: Long,
) = (0 until forMillis / millis).map { Row("row-$it", START_MILLIS + it * millis, it * millis) }

private fun surplusCount(statuses: Map<String, ShareStatus>) = statuses.values.count { it.isSurplus }

private data class RateCase(
    val name: String,
    val weight: Double,
    val everyMillis: Long,
    val forMillis: Long,
    val surplus: IntRange,
)

class AccountSharesTest :
    FunSpec({
        context("jobs beyond the weight of their account are surplus") {
            withData(
                nameFn = { it.name },
                RateCase("at its rate for a minute", 10.0, 100, 60_000, 0..0),
                RateCase("the jobs of one window at once", 10.0, 1, 50, 0..0),
                RateCase("more than the jobs of one window at once", 10.0, 1, 80, 28..30),
                RateCase("seven times its rate for 6.5 s", 10.0, 14, 6_500, 350..360),
                RateCase("seven times its rate for a minute", 10.0, 14, 60_000, 3_550..3_680),
                RateCase("without a weight", 0.0, 1, 5_000, 0..0),
                RateCase("a single job, however small the weight", 0.01, 1, 1, 0..0),
                RateCase("the second job within a window of a small weight", 0.1, 3_000, 6_000, 1..1),
            ) {
                val statuses = statuses(rowsEvery(it.everyMillis, it.forMillis), it.weight)
                (surplusCount(statuses) in it.surplus) shouldBe true
            }
        }

        test("the empty account of open queues has no surplus") {
            val shares = AccountShares()
            shares.setWeight("", 1.0)
            (1..100).flatMap { shares.recordSubmission("", "row-$it", START_MILLIS, 0) } shouldBe emptyList()
        }

        test("once an account submits surplus, its lead over its rate counts, also for jobs submitted before") {
            val withinShare = statuses(rowsEvery(50, 4_000), 10.0)
            withinShare.values.toSet() shouldBe setOf(ShareStatus.WITHIN_SHARE)
            val withSurplus = statuses(rowsEvery(50, 6_000), 10.0)
            withSurplus.getValue("row-0").aheadMillis shouldBe 0
            withSurplus.getValue("row-20").aheadMillis shouldBe 0
            // 60 jobs in 3 s take 6 s at the rate of the account; one second is tolerated.
            withSurplus.getValue("row-60").aheadMillis shouldBe 2_000
        }

        test("the status of jobs does not depend on the order in which rows are read, even with clock skew and jumps") {
            (1..40).forEach { seed ->
                val random = Random(seed)
                val rows =
                    List(400) {
                        val jump = if (random.nextInt(50) == 0) random.nextLong(-5_000, 5_000) else 0
                        val millis = random.nextLong(40_000) + random.nextLong(-2_000, 2_000) + jump
                        Row("row-$it", START_MILLIS + millis, 0)
                    }
                withClue("seed $seed") { statuses(rows.shuffled(random), 6.0) shouldBe statuses(rows, 6.0) }
            }
        }

        test("the next owner computes the same status for the latest jobs from the retained rows") {
            (1..40).forEach { seed ->
                val random = Random(seed)
                val sent =
                    List(1_700) { random.nextLong(66_000) }.sorted().mapIndexed { index, millis ->
                        Row("row-$index", START_MILLIS + millis, millis)
                    }
                val oldestMillis = START_MILLIS + 66_000 - AccountShares.LOOKBACK_MILLIS
                val inherited = sent.filter { it.unixMillis >= oldestMillis }.map { Row(it.id, it.unixMillis, 0) }
                val first = statuses(sent, 12.0)
                val next = statuses(inherited.shuffled(random), 12.0)
                val period = Math.floorDiv(START_MILLIS + 66_000, AccountShares.PERIOD_MILLIS)
                val latest = sent.filter { Math.floorDiv(it.unixMillis, AccountShares.PERIOD_MILLIS) >= period }
                withClue("seed $seed") {
                    latest.map { next.getValue(it.id) } shouldBe latest.map { first.getValue(it.id) }
                }
            }
        }

        test("a row that is read twice counts once") {
            val rows = rowsEvery(20, 4_000)
            statuses(rows + rows, 10.0) shouldBe statuses(rows, 10.0)
        }

        test("a new weight changes the status of earlier jobs") {
            val shares = AccountShares()
            shares.setWeight(ACCOUNT, 100.0)
            rowsEvery(10, 3_000).flatMap { shares.recordSubmission(ACCOUNT, it.id, it.unixMillis, 0) } shouldBe
                emptyList()
            shares.setWeight(ACCOUNT, 10.0).count { it.share.isSurplus } shouldBe 300 - 79
            shares.setWeight(ACCOUNT, 100.0).map { it.share }.toSet() shouldBe setOf(ShareStatus.WITHIN_SHARE)
        }

        test("old submissions are dropped, and the cost of each new one stays small") {
            val shares = AccountShares()
            shares.setWeight(ACCOUNT, 10.0)
            var mostChanges = 0
            rowsEvery(100, 600_000).forEach {
                mostChanges =
                    maxOf(mostChanges, shares.recordSubmission(ACCOUNT, it.id, it.unixMillis, it.readAtMillis).size)
            }
            mostChanges shouldBeLessThanOrEqual 1
        }

        test("the baseline never reports surplus") {
            (1..1_000).flatMap { UnlimitedShares.recordSubmission(ACCOUNT, "row-$it", START_MILLIS, 0) } shouldBe
                emptyList()
        }
    })
