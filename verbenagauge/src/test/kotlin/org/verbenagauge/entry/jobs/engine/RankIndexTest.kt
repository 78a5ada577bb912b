package org.verbenagauge.entry.jobs.engine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.Amount
import java.util.TreeMap
import kotlin.random.Random

private const val SEEDS = 20
private const val CHANGES = 2_000

private class WithinCapacity(
    private val capacity: Amount,
    private var comparisons: Int,
) : RankFilter {
    override fun mayFit(least: Amount) = least.fitsInto(capacity)

    override fun mayStart(
        rank: Rank,
        least: Amount,
    ) = mayFit(least)

    override fun takeComparison() = --comparisons >= 0
}

private fun RankIndex.scanAll(filter: () -> RankFilter): List<Rank> {
    val found = ArrayList<Rank>()
    restartScan()
    while (countUnscanned() > 0) {
        val rank = scan(filter()) ?: continue
        found += rank
        skipTo(rank)
    }
    return found
}

class RankIndexTest :
    FunSpec({
        // Guards against a scan that passes over a rank that fits, also when it is continued in small parts.
        test("after each change a scan finds just what a full search finds, and the order is that of the ranks") {
            (1..SEEDS).forEach { seed ->
                withClue("seed $seed") {
                    val random = Random(seed)
                    val job = JobEntry("1", job(step(1)), configuration().queues.first(), 0, mayHaveEarlierRuns = false)
                    val index = RankIndex()
                    val expected = TreeMap<Rank, Amount>()
                    repeat(CHANGES) { change ->
                        if (expected.isNotEmpty() && random.nextInt(3) == 0) {
                            val removed = expected.keys.elementAt(random.nextInt(expected.size))
                            expected.remove(removed)
                            index.remove(removed)
                        } else {
                            val rank = Rank(job, random.nextInt(3), random.nextInt(3), urgency = random.nextLong())
                            val demand = Amount(random.nextLong(100), random.nextLong(100), random.nextLong(3))
                            expected[rank] = demand
                            index.add(rank, demand)
                        }
                        if (change % 50 == 0) {
                            val capacity = Amount(random.nextLong(60), random.nextLong(60), random.nextLong(3))
                            val fitting = expected.filterValues { it.fitsInto(capacity) }.keys.toList()
                            index.toList() shouldBe expected.keys.toList()
                            index.size shouldBe expected.size
                            index.scanAll { WithinCapacity(capacity, comparisons = 3) } shouldBe fitting
                        }
                    }
                }
            }
        }
    })
