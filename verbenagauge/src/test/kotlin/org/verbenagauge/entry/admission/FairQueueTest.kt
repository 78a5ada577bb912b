package org.verbenagauge.entry.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.state.document.QueueClass
import kotlin.random.Random

private const val SCHEDULES = 500
private const val STEPS = 200
private const val TEAMS = 5

class FairQueueTest :
    FunSpec({
        test("given random events, when compared with a naive queue, then the order of service is the same") {
            repeat(SCHEDULES) { seed -> withClue("seed $seed") { compare(Random(seed)) } }
        }

        test("given two teams with shares of 3 to 1, when both wait, then starts follow the shares") {
            val queue = FairQueue()
            repeat(40) { queue.add(waiting(it.toLong(), "a"), shareWeight = 3) }
            repeat(40) { queue.add(waiting(100L + it, "b"), shareWeight = 1) }
            val started = List(40) { queue.peek { true }!!.also { queue.start(it.id, 1.0, nowMillis = 0) }.teamId }
            started.count { it == "a" } shouldBe 30
        }

        test("given a team at its limit, when it has the lowest virtual time, then others start") {
            val queue = FairQueue()
            queue.add(waiting(1, "a"), shareWeight = 1)
            queue.add(waiting(2, "b"), shareWeight = 1)
            queue.peek { it != "a" }?.id shouldBe 2
            queue.start(2, 1.0, nowMillis = 0)
            queue.peek { true } shouldBe null
            queue.unblock("a")
            queue.peek { true }?.id shouldBe 1
        }

        test("given a deferrable request, when it is due for promotion, then it is served before ordinary requests") {
            val queue = FairQueue()
            queue.add(waiting(1, "a", QueueClass.ORDINARY), shareWeight = 1)
            queue.add(waiting(2, "a", QueueClass.DEFERRABLE, promoteAtMillis = 500), shareWeight = 1)
            queue.add(waiting(3, "a", QueueClass.URGENT), shareWeight = 1)
            queue.advance(499)
            queue.peek { true }?.id shouldBe 3
            queue.start(3, 1.0, nowMillis = 0)
            queue.peek { true }?.id shouldBe 1
            queue.advance(500)
            queue.peek { true }?.id shouldBe 2
        }

        test("given a steady flow of urgent requests, when an ordinary one waits, then it is served within the bound") {
            val queue = FairQueue()
            queue.add(waiting(0, "b", QueueClass.ORDINARY), shareWeight = 1)
            val started = ArrayList<Long>()
            for (id in 1L..100L) {
                queue.add(waiting(id, "a", QueueClass.URGENT), shareWeight = 1)
                started += queue.peek { true }!!.id.also { queue.start(it, 1.0, nowMillis = 0) }
            }
            started.indexOf(0L) shouldBe FairQueue.MAX_SKIPPED_STARTS
        }
    })

private fun waiting(
    id: Long,
    teamId: String,
    queueClass: QueueClass = QueueClass.ORDINARY,
    startByMillis: Long = 1_000_000,
    promoteAtMillis: Long? = null,
    expectedRunMillis: Double = 1.0,
) = WaitingRequest(id, teamId, "queue", queueClass, startByMillis, promoteAtMillis, expectedRunMillis)

private fun compare(random: Random) {
    val queue = FairQueue()
    val naive = NaiveFairQueue()
    var nowMillis = 0L
    repeat(STEPS) { step ->
        withClue("step $step") {
            when (random.nextInt(10)) {
                in 0..3 -> {
                    val added = randomWaiting(random, step.toLong(), nowMillis)
                    val weight = added.teamId.last().digitToInt() + 1
                    queue.add(added, weight)
                    naive.add(added, weight)
                }
                in 4..6 -> {
                    val full = List(random.nextInt(TEAMS)) { "team-${random.nextInt(TEAMS)}" }
                    val next = queue.peek { it !in full }
                    next shouldBe naive.peek { it !in full }
                    if (next != null && random.nextInt(5) > 0) {
                        queue.start(next.id, next.expectedRunMillis, nowMillis)
                        naive.start(next.id, next.expectedRunMillis)
                    }
                }
                7 -> random.nextLong(step + 1L).let { queue.remove(it) shouldBe naive.remove(it) }
                8 -> {
                    val teamId = "team-${random.nextInt(TEAMS)}"
                    val runMillis = random.nextInt(-20, 60).toDouble()
                    queue.charge(teamId, runMillis)
                    naive.charge(teamId, runMillis)
                }
                else -> {
                    nowMillis += random.nextInt(100)
                    queue.advance(nowMillis).toSet() shouldBe naive.advance(nowMillis)
                    queue.unblockAll()
                    naive.unblockAll()
                }
            }
            queue.size shouldBe naive.size
        }
    }
}

private fun randomWaiting(
    random: Random,
    id: Long,
    nowMillis: Long,
) = waiting(
    id = id,
    teamId = "team-${random.nextInt(TEAMS)}",
    queueClass = QueueClass.entries[random.nextInt(3)],
    startByMillis = nowMillis + random.nextInt(1, 2_000),
    promoteAtMillis = (nowMillis + random.nextInt(500)).takeIf { random.nextInt(4) == 0 },
    expectedRunMillis = random.nextInt(1, 50).toDouble(),
)
