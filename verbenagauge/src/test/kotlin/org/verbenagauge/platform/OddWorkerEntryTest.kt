package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.owner.WorkerFollower
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.logging.EventLog
import java.util.Base64

private const val LONGEST = "9223372036854775807"
private const val LONG_NUMBER = "123456789012345678901234567890"

private fun entry(
    address: String = "10.0.0.9:80",
    fields: String = """"born":5""",
) = """{"Service":"hall","Address":"$address","Zone":"z","State":"ready",$fields}"""

private class OddEntry(
    val name: String,
    val text: String,
) {
    override fun toString() = name
}

private val oddNumbers =
    listOf("-1", "1e400", "-1e400", "NaN", "Infinity", LONG_NUMBER, "1e30", "\"x\"", "null2", "[1]")

private val oddEntries =
    listOf("0", "-1", "65536", "70000", LONGEST, LONG_NUMBER, "1e3", "8 0", "").map {
        OddEntry("port '$it'", entry(address = "10.0.0.9:$it"))
    } +
        listOf("Cpu", "MemMb", "Gpu").flatMap { part ->
            (oddNumbers + LONGEST).map { OddEntry("$part $it", entry(fields = """"Capacity":{"$part":$it}""")) }
        } +
        (oddNumbers + LONGEST + "1e18").map {
            OddEntry(
                "cold for $it ms",
                entry(fields = """"ColdRemainingMs":$it"""),
            )
        } +
        oddNumbers.map { OddEntry("born at $it", entry(fields = """"born":$it""")) } +
        oddDepths.flatMap { depth ->
            nestedValues(depth).map { (form, value) -> OddEntry("$depth $form", entry(fields = """"x":$value""")) } +
                nestedValues(depth).map { (form, value) ->
                    OddEntry("$depth $form", entry(fields = """"Labels":$value"""))
                }
        } +
        listOf("", "{", "[]", "\u0000").map { OddEntry("the text '$it'", it) }

/** A store with the answers of the platform's one, each given once, in their raw bytes. */
private class AnswersOfStore(
    private val all: String,
    private val changes: List<String>,
) : RowStore by MemoryRowStore() {
    private fun read(text: String): ReadResult<RowBatch> {
        val read = readRowsAnswer(answered(text)) as ReadResult.Read
        return ReadResult.Read(RowBatch(read.value.rows.map(::stored), read.value.rowVersion))
    }

    override suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch> = read(all)

    override fun feed(table: String): RowFeed =
        object : RowFeed {
            private val left = ArrayDeque(changes)

            override suspend fun changesAfter(
                version: Long,
                waitMillis: Long,
            ): ReadResult<RowBatch> = read(left.removeFirstOrNull() ?: awaitCancellation())

            override fun close() = Unit
        }
}

private fun rows(
    version: Long,
    vararg entries: Pair<String, String>,
): String {
    val rows =
        entries.joinToString(",") { (key, text) ->
            val value = Base64.getEncoder().encodeToString(text.encodeToByteArray())
            """{"Table":"servers","part":"","Key":"$key","Value":"$value","RowVersion":$version}"""
        }
    return """{"rows":[$rows],"RowVersion":$version}"""
}

@OptIn(ExperimentalCoroutinesApi::class)
class OddWorkerEntryTest :
    FunSpec({
        context("an odd entry names no worker") {
            withData(nameFn = { "$it" }, oddEntries) { odd ->
                onSmallStack { readWorker("odd", odd.text.encodeToByteArray()) } shouldBe Result.success(null)
            }
        }

        context("a bound itself names a worker") {
            withData(
                nameFn = { it.take(100) },
                entry(address = "10.0.0.9:1"),
                entry(address = "10.0.0.9:65535"),
                entry(fields = """"Capacity":{"Cpu":2147483647,"MemMb":2147483647,"Gpu":0}"""),
                entry(fields = """"Capacity":{}"""),
                entry(fields = """"ColdRemainingMs":-0.4"""),
                entry(fields = """"ColdRemainingMs":2147483647"""),
                entry(fields = """"born":0"""),
                entry(fields = """"born":9007199254740991"""),
            ) { text -> (readWorker("good", text.encodeToByteArray()) != null) shouldBe true }
        }

        context("the workers beside an odd entry are followed, also later") {
            withData(nameFn = { "$it" }, oddEntries) { odd ->
                runTest {
                    val clock =
                        object : Clock {
                            override fun monotonicMillis() = testScheduler.currentTime

                            override fun wallMillis() = testScheduler.currentTime
                        }
                    val store =
                        AnswersOfStore(
                            rows(1, "a" to entry(), "odd" to odd.text, "z" to entry()),
                            listOf(
                                rows(2, "b" to entry(), "odd" to odd.text, "y" to entry()),
                                rows(3, "odd" to odd.text),
                                rows(4, "c" to entry()),
                            ),
                        )
                    val engine = JobEngine(epoch = 1, EngineLimits(), now = 0)
                    val follower = WorkerFollower(PlatformWorkerList(store, EventLog("e")), engine, clock) { }
                    val running = backgroundScope.launch { follower.run() }
                    advanceTimeBy(5_000)
                    running.cancel()
                    engine.state.workers.keys shouldBe setOf("a", "z", "b", "y", "c")
                }
            }
        }
    })
