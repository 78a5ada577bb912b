package org.verbenagauge.entry.account

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val SEEDS = 200
private const val STEPS = 120
private const val CHAINS = 3

/** Three chains that exchange heads at random times; what is stored when they end, and one of them may not. */
private class Story(
    seed: Int,
) {
    val random = Random(seed)
    val segments = MemorySegments()
    private val ids = List(CHAINS) { ChainId("entry-$it", "a$it") }
    private val chains = ids.map { AccountChain(it, ChainLimits(maxSegmentRecords = 6)) }
    private val clocks = LongArray(CHAINS) { 1_000_000L + random.nextInt(-500, 500) }
    private val lost = ArrayDeque<Pair<Int, ChainHead>>()

    init {
        repeat(STEPS) { step(it) }
        chains.indices.forEach { index ->
            if (random.nextInt(4) > 0) append(index, AccountEvent.Closed)
            chains[index].seal()?.let(::store)
        }
    }

    private fun step(number: Int) {
        val index = random.nextInt(CHAINS)
        clocks[index] += random.nextLong(-2, 10)
        when (random.nextInt(4)) {
            0 -> chains[index].head?.let { lost.addLast(random.nextInt(CHAINS) to it) }
            1 -> lost.removeFirstOrNull()?.let { (to, head) -> witness(to, head) }
            else -> append(index, answeredEvent(jobRecord(number)))
        }
    }

    private fun witness(
        index: Int,
        head: ChainHead,
    ) {
        chains[index].witness(head, clocks[index])?.let { append(index, it) }
    }

    private fun append(
        index: Int,
        event: AccountEvent,
    ) {
        val json = accountJson.encodeToString(AccountEvent.serializer(), event)
        chains[index].append(json, clocks[index], clocks[index])?.let(::store)
    }

    private fun store(segment: SealedSegment) {
        segments.objects[segment.name] = segment.encode()
    }
}

/** One way to damage an account; returns the first sequence that is concerned, or null when it does not apply. */
private class Damage(
    val name: String,
    val alwaysFound: Boolean,
    val apply: (MemorySegments, List<String>, Random) -> Long?,
)

private fun editedLine(
    line: ByteArray,
    random: Random,
): ByteArray {
    val text = line.decodeToString()
    val edited = text.replace("\"growers\"", "\"buyers\"").replace("\"waitedMillis\":3", "\"waitedMillis\":4")
    return (if (edited == text) text.replace("\"counter\":", "\"counter\":${random.nextInt(1, 9)}") else edited)
        .encodeToByteArray()
}

/** Writes the chain again from [from] on, with the lines that [change] makes of the segment's, all hashes fitting. */
private fun forge(
    segments: MemorySegments,
    names: List<String>,
    from: Int,
    change: (List<ByteArray>) -> List<ByteArray>,
) {
    var previousHash: String? = null
    names.drop(from).forEachIndexed { index, name ->
        val parsed = parseSegment(segments.objects.getValue(name))
        val lines = if (index == 0) change(parsed.lines) else parsed.lines
        val header = parsed.header.copy(previousHash = previousHash ?: parsed.header.previousHash)
        val hash = ChainHash(hashBytes(header.previousHash)!!)
        lines.forEach(hash::append)
        previousHash = hash.hexDigits
        val sealed = SealedSegment(header, lines, SegmentFooter(header.firstSequence + lines.size - 1, hash.hexDigits))
        segments.objects[name] = sealed.encode()
    }
}

private fun firstOf(
    segments: MemorySegments,
    name: String,
) = parseSegment(segments.objects.getValue(name)).header.firstSequence

private val damages =
    listOf(
        Damage("edit of a record", alwaysFound = true) { segments, names, random ->
            val name = names.random(random)
            val parsed = parseSegment(segments.objects.getValue(name))
            val at = random.nextInt(parsed.lines.size)
            val lines = parsed.lines.toMutableList().also { it[at] = editedLine(it[at], random) }
            segments.objects[name] = SealedSegment(parsed.header, lines, parsed.footer).encode()
            parsed.header.firstSequence + at
        },
        Damage("swap of two records", alwaysFound = true) { segments, names, random ->
            val name = names.random(random)
            val parsed = parseSegment(segments.objects.getValue(name))
            if (parsed.lines.size < 2) return@Damage null
            val at = random.nextInt(parsed.lines.size - 1)
            val lines = parsed.lines.toMutableList().also { it.add(at, it.removeAt(at + 1)) }
            segments.objects[name] = SealedSegment(parsed.header, lines, parsed.footer).encode()
            parsed.header.firstSequence + at
        },
        Damage("cut in the middle", alwaysFound = true) { segments, names, random ->
            if (names.size < 2) return@Damage null
            val name = names.dropLast(1).random(random)
            firstOf(segments, name).also { segments.objects.remove(name) }
        },
        Damage("swap of two segments", alwaysFound = true) { segments, names, random ->
            if (names.size < 2) return@Damage null
            val (one, other) = names.shuffled(random)
            val content = segments.objects.getValue(one)
            val first = minOf(firstOf(segments, one), firstOf(segments, other))
            segments.objects[one] = segments.objects.getValue(other)
            segments.objects[other] = content
            first
        },
        Damage("replay of a segment", alwaysFound = true) { segments, names, random ->
            val name = names.random(random)
            val chain = chainOfSegment(name)!!
            val last = parseSegment(segments.objects.getValue(names.last())).footer.lastSequence
            segments.objects[segmentName(chain, last + 1)] = segments.objects.getValue(name)
            last + 1
        },
        Damage("replay of a record with fitting hashes", alwaysFound = true) { segments, names, random ->
            val at = names.indices.random(random)
            forge(segments, names, at) { it + it.last() }
            firstOf(segments, names[at])
        },
        Damage("cut of the tail", alwaysFound = false) { segments, names, random ->
            val kept = random.nextInt(names.size)
            val first = firstOf(segments, names[kept])
            names.drop(kept).forEach(segments.objects::remove)
            first
        },
        Damage("edit with fitting hashes to the end of the chain", alwaysFound = false) { segments, names, random ->
            val at = names.indices.random(random)
            var edited = 0
            forge(segments, names, at) { lines ->
                edited = random.nextInt(lines.size)
                lines.toMutableList().also { it[edited] = editedLine(it[edited], random) }
            }
            firstOf(segments, names[at]) + edited
        },
    )

class AccountTamperTest :
    FunSpec({
        test("given chains that nobody touched, when they are verified, then nothing is found") {
            repeat(SEEDS) { seed ->
                withClue("seed $seed") {
                    val report = verifyAccount(Story(seed).segments)
                    report.findings.filter { it.kind != FindingKind.MISSING_TAIL }.shouldBeEmpty()
                }
            }
        }

        context("given damage, when the account is verified, then it is found or reported as not proved") {
            withData(nameFn = { it.name }, damages) { damage ->
                var found = 0
                repeat(SEEDS) { seed ->
                    val story = Story(seed)
                    val before = verifyAccount(story.segments)
                    val victim = before.chains.random(story.random)
                    val names = story.segments.names().filter { chainOfSegment(it) == victim.chain }
                    val damaged = story.segments.copy()
                    val first = damage.apply(damaged, names, story.random) ?: return@repeat
                    val after = verifyAccount(damaged)
                    val isFound = after.findings.size > before.findings.size
                    if (isFound) found++
                    withClue("seed $seed, chain ${victim.chain}, from record $first, witnessed $victim") {
                        if (damage.alwaysFound || first <= victim.witnessedThrough) isFound shouldBe true
                        if (!isFound) isReported(after, victim.chain, first) shouldBe true
                    }
                }
                found shouldBeGreaterThan SEEDS / 2
            }
        }

        test("given a head that was kept elsewhere, when the chain behind it is forged, then it is found") {
            val story = Story(1)
            val victim = verifyAccount(story.segments).chains.first()
            val known = AccountEvent.PeerHead(victim.chain, victim.lastSequence, victim.headHash)
            verifyAccount(story.segments, listOf(known)).findings.shouldBeEmpty()
            val names = story.segments.names().filter { chainOfSegment(it) == victim.chain }
            forge(story.segments, names, names.size - 1) { lines -> lines.map { editedLine(it, Random(1)) } }
            val findings = verifyAccount(story.segments, listOf(known)).findings
            findings.map { it.kind }.toSet() shouldBe setOf(FindingKind.REWRITTEN)
        }
    })

private fun isReported(
    report: AccountReport,
    chain: ChainId,
    first: Long,
): Boolean {
    val known = report.chains.firstOrNull { it.chain == chain } ?: return first == 0L
    return !known.closed || known.witnessedThrough < first
}
