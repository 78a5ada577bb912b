package org.verbenagauge.entry.load

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeBetween
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.util.Random
import kotlin.math.abs
import kotlin.math.exp

private const val QUEUE = "q"

private data class TrustCase(
    val name: String,
    val estimatesOff: Double,
    val lowestTrust: Double,
    val highestTrust: Double,
)

private class Task(
    val millis: Long,
    val estimateMillis: Long,
)

// Durations differ by half of their mean and three tasks in a hundred take seven times as long. The logarithm of the
// estimates has a standard deviation of estimatesOff, and estimates do not predict the long tasks.
private fun tasks(
    estimatesOff: Double,
    count: Int = 2_000,
    seed: Long = 1,
): List<Task> {
    val random = Random(seed)
    return List(count) {
        val size = 1_000 * exp(0.5 * random.nextGaussian())
        val millis = if (random.nextInt(100) < 3) size * 7 else size
        Task(millis.toLong(), (size * exp(estimatesOff * random.nextGaussian())).toLong())
    }
}

private fun RunTimes.learnAll(tasks: List<Task>) =
    apply {
        tasks.forEach { learn(QUEUE, it.millis, it.estimateMillis) }
    }

// Returns the mean relative error of the expected duration over all tasks, each of which is learned after its
// prediction.
private fun meanError(
    times: RunTimes,
    tasks: List<Task>,
): Double {
    var sum = 0.0
    tasks.forEach {
        sum += abs(times.expectMillis(QUEUE, it.estimateMillis) - it.millis) / it.millis.toDouble()
        times.learn(QUEUE, it.millis, it.estimateMillis)
    }
    return sum / tasks.size
}

class SpreadRunTimesTest :
    FunSpec({
        context("estimates get weight as far as they predict durations") {
            withData(
                nameFn = { it.name },
                TrustCase("off by a fifth", estimatesOff = 0.2, lowestTrust = 0.7, highestTrust = 1.0),
                TrustCase("off by half and more", estimatesOff = 0.8, lowestTrust = 0.1, highestTrust = 0.5),
            ) { case ->
                val times = SpreadRunTimes().learnAll(tasks(case.estimatesOff))
                val trust = times.snapshot(1).getValue(QUEUE).trust
                trust.coerceIn(case.lowestTrust, case.highestTrust) shouldBe trust
                meanError(times, tasks(case.estimatesOff, seed = 2)) shouldBeLessThan
                    meanError(MeanRunTimes().learnAll(tasks(case.estimatesOff)), tasks(case.estimatesOff, seed = 2))
            }
        }

        test("with few runs, the expected duration is the mean adjusted by a fifth of the estimate's difference") {
            val spread = SpreadRunTimes().learnAll(tasks(0.2, count = 19))
            val mean = MeanRunTimes().learnAll(tasks(0.2, count = 19))
            listOf(100L, 1_000L, 5_000L).forEach {
                abs(spread.expectMillis(QUEUE, it) - mean.expectMillis(QUEUE, it)) shouldBeLessThan 2L
            }
        }

        test("a task that has run for three times its mean has a longer remaining duration than a new one") {
            val times = SpreadRunTimes().learnAll(tasks(0.2))
            val fresh = times.remainingMillis(QUEUE, 1_000, 0)
            fresh.shouldBeBetween(700, 1_700)
            times.remainingMillis(QUEUE, 1_000, 3_500) shouldBeGreaterThan 2 * fresh
            MeanRunTimes().learnAll(tasks(0.2)).remainingMillis(QUEUE, 1_000, 3_500) shouldBe 0
        }

        test("the expected share of runs completes within the quantile") {
            val times = SpreadRunTimes().learnAll(tasks(0.2))
            val late = tasks(0.2, seed = 3).count { it.millis > times.quantileMillis(QUEUE, it.estimateMillis, 0.9) }
            late.toLong().shouldBeBetween(100, 300)
        }

        test("the next owner starts from the learned statistics, whose text form is below 200 characters per queue") {
            val times = SpreadRunTimes().learnAll(tasks(0.2))
            val learnt = times.snapshot(1)
            (learnt.getValue(QUEUE).toString().length < 200) shouldBe true
            learnt.getValue(QUEUE).ratios.length shouldBe 32
            val next = SpreadRunTimes().also { it.restore(learnt) }
            next.isKnown(QUEUE) shouldBe true
            listOf(300L, 1_000L, 4_000L).forEach {
                val before = times.expectMillis(QUEUE, it)
                next.expectMillis(QUEUE, it).shouldBeBetween(before * 8 / 10, before * 12 / 10)
            }
            val before = times.remainingMillis(QUEUE, 1_000, 3_000)
            next.remainingMillis(QUEUE, 1_000, 3_000).shouldBeBetween(before * 8 / 10, before * 12 / 10)
        }

        test("a malformed record changes nothing") {
            val times = SpreadRunTimes()
            times.restore(mapOf(QUEUE to LearntRunTimes(0, 5, 0, -1.0, 9.0, "?")))
            times.isKnown(QUEUE) shouldBe false
        }
    })
