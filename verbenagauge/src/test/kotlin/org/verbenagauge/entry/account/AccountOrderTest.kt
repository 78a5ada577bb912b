package org.verbenagauge.entry.account

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val SEEDS = 100
private const val STEPS = 60
private const val CHAINS = 3

/** Head on its way, with all records that had come before it according to the oracle's vector clock. */
private class SentHead(
    val head: ChainHead,
    val before: LongArray,
)

class AccountOrderTest :
    FunSpec({
        test("given heads that cross, when two records are compared, then the hashes prove what a vector clock knows") {
            var proved = 0
            repeat(SEEDS) { seed ->
                val random = Random(seed)
                val segments = MemorySegments()
                val ids = List(CHAINS) { ChainId("entry-$it", "b$it") }
                val chains = ids.map { AccountChain(it, ChainLimits(maxSegmentRecords = 7)) }
                val known = List(CHAINS) { LongArray(CHAINS) { -1 } }
                val knownAt = mutableMapOf<RecordPlace, LongArray>()
                val sent = ArrayDeque<SentHead>()

                fun append(
                    index: Int,
                    event: AccountEvent,
                ) {
                    known[index][index]++
                    knownAt[RecordPlace(ids[index], known[index][index])] = known[index].copyOf()
                    val json = accountJson.encodeToString(AccountEvent.serializer(), event)
                    val sealed = chains[index].append(json, 0, random.nextLong(1_000))
                    sealed?.let { segments.objects[it.name] = it.encode() }
                }
                repeat(STEPS) { number ->
                    val index = random.nextInt(CHAINS)
                    when (random.nextInt(3)) {
                        0 -> chains[index].head?.let { sent.addLast(SentHead(it, known[index].copyOf())) }
                        1 ->
                            sent.removeFirstOrNull()?.let { message ->
                                chains[index].witness(message.head, 0)?.let { event ->
                                    message.before.forEachIndexed { chain, sequence ->
                                        known[index][chain] = maxOf(known[index][chain], sequence)
                                    }
                                    append(index, event)
                                }
                            }
                        else -> append(index, answeredEvent(jobRecord(number)))
                    }
                }
                chains.forEach { chain -> chain.seal()?.let { segments.objects[it.name] = it.encode() } }
                val order = provedOrder(segments)
                knownAt.keys.forEach { one ->
                    knownAt.forEach { (other, before) ->
                        val expected = one != other && before[ids.indexOf(one.chain)] >= one.sequence
                        withClue("seed $seed: $one before $other") { order.isBefore(one, other) shouldBe expected }
                        if (expected && one.chain != other.chain) proved++
                    }
                }
            }
            proved shouldBeGreaterThan SEEDS
        }
    })
