package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.http.HttpOutcome

private const val WORKER = """"Service":"hall","Address":"10.0.0.9:80","State":"ready""""
private const val HELD = """"ClockMs":1,"born":1"""

/**
 * A reader of documents of the platform.
 *
 * @property document a document that is read when a plain value stands in place of #.
 * @property plainValue that value.
 * @property isRead whether the reader takes the document.
 */
private class Reader(
    val name: String,
    val document: String,
    val plainValue: String,
    val isRead: (String) -> Boolean,
) {
    override fun toString() = name
}

private fun isEvacuated(text: String): Boolean {
    val rows = EvacuationRows { }
    rows.take(listOf(StoredRow("op", "evacuate/a", text.encodeToByteArray(), version = 1)))
    return rows.zoneIds == setOf("a")
}

private fun isListed(text: String) = readListing(answered(text)) is ListingOutcome.Listed

private val readers =
    listOf(
        Reader("a worker's entry, unknown field", """{$WORKER,"x":#}""", "1") {
            readWorker("i-1", it.encodeToByteArray()) != null
        },
        Reader("a worker's entry, labels", """{$WORKER,"Labels":[#]}""", "\"a\"") {
            readWorker("i-1", it.encodeToByteArray()) != null
        },
        Reader(
            "the configuration",
            """{"Version":1,"x":#}""",
            "1",
        ) { readConfiguration(it.encodeToByteArray()) != null },
        Reader("a wave", """{"Wave":1,"Machines":[],"x":#}""", "1") { readWave(it.encodeToByteArray()) != null },
        Reader("an evacuation", """{"x":#}""", "1", ::isEvacuated),
        Reader("a job, required label", """{"Steps":[{"Count":1,"Requirements":#}]}""", "\"a\"") {
            readJob(it.encodeToByteArray()) != null
        },
        Reader("a job, flag", """{"Steps":[{"Count":1,"FillCount":#}]}""", "true") {
            readJob(it.encodeToByteArray()) != null
        },
        Reader("a listing, a run", """{$HELD,"Running":[["a.0.0.0",1,"",0,#]],"Finished":[]}""", "0", ::isListed),
        Reader(
            "a listing, an end",
            """{$HELD,"Running":[],"Finished":[[1,"a.0.0.0",1,"done","",#]]}""",
            "0",
            ::isListed,
        ),
        Reader("a listing, unknown field", """{$HELD,"Running":[],"Finished":[],"x":#}""", "0", ::isListed),
        Reader("an answer to an order", """{"ClockMs":1,"x":#}""", "1") {
            readOrderAnswer(answered(it)) is OrderOutcome.Done
        },
        Reader("a list of machines", """{"Machines":[],"x":#}""", "1") { readMachinePage(answered(it)) != null },
        Reader("advice", """{"Allowed":[["i-1","t",#]]}""", "1") { readAdvice(answered(it)) == mapOf("i-1" to "t") },
        Reader("rows of the store", """{"rows":[],"RowVersion":1,"x":#}""", "1") {
            readRowsAnswer(answered(it)) is ReadResult.Read
        },
        Reader("a transaction", """{"RowVersion":1,"x":#}""", "1") {
            readTransactionAnswer(answered(it)) is TransactionOutcome.Applied
        },
        Reader("a conflict", """{"rows":[],"x":#}""", "1") {
            readTransactionAnswer(HttpOutcome.Answered(412, it.encodeToByteArray())) is TransactionOutcome.Conflict
        },
    )

class DeeplyNestedDocumentTest :
    FunSpec({
        context("a document that is nested deeply is left out and ends no thread") {
            withData(nameFn = { "$it" }, readers) { reader ->
                reader.isRead(reader.document.replace("#", reader.plainValue)) shouldBe true
                oddDepths.forEach { depth ->
                    nestedValues(depth).forEach { (form, value) ->
                        val read = onSmallStack { reader.isRead(reader.document.replace("#", value)) }
                        "$depth $form: $read" shouldBe "$depth $form: ${Result.success(false)}"
                    }
                }
            }
        }

        context("brackets in a text nest nothing") {
            withData(
                nameFn = { it.take(12) },
                "[".repeat(1_000),
                "{".repeat(1_000),
                "\\\"" + "[".repeat(1_000),
                "\\\\\\\"" + "[".repeat(1_000),
            ) { text ->
                readJob("""{"Specification":"$text","Steps":[{"Count":1}]}""".encodeToByteArray())?.steps?.size shouldBe
                    1
            }
        }

        test("many values beside each other nest nothing") {
            val runs = (1..1_000).joinToString(",") { """["a.0.0.$it",1,"",0,0]""" }
            isListed("""{$HELD,"Running":[$runs],"Finished":[]}""") shouldBe true
        }
    })
