package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.http.HttpOutcome

private const val TASK = "5c0e7a21d94b36f8.0.1.17"
private const val RUN = """["$TASK",2,"00000bb87a21d94b",41,7]"""
private const val END = """[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]"""

private data class HeldCase(
    val name: String,
    val body: String,
)

private fun held(
    running: String = RUN,
    finished: String = END,
) = """{"ClockMs":482113,"born":1700000000000,"Running":[$running],"Finished":[$finished]}"""

private fun read(body: String) = readListing(HttpOutcome.Answered(200, body.encodeToByteArray()))

class ListingAnswerTest :
    FunSpec({
        test("a whole listing is read with its runs and ends") {
            val listing = read(held()).shouldBeInstanceOf<ListingOutcome.Listed>().listing
            listing.clockMillis shouldBe 482_113
            listing.bornUnixMillis shouldBe 1_700_000_000_000
            listing.running.map(ListedRun::runId) shouldBe listOf(2L)
            listing.running.map(ListedRun::figure) shouldBe listOf(7L)
            listing.ended.map(ListedEnd::kind) shouldBe listOf(EndKind.DONE)
        }

        context("a listing with as many ends as a worker lists at once may lack some") {
            withData(
                nameFn = { "${it.first} ends" },
                0 to true,
                1 to true,
                499 to true,
                500 to false,
            ) { (ends, hasAllEnds) ->
                val rows = (1..ends).joinToString(",") { """[$it,"$TASK",$it,"done",""]""" }
                val listing = read(held(finished = rows)).shouldBeInstanceOf<ListingOutcome.Listed>().listing
                listing.ended.size shouldBe ends
                listing.hasAllEnds shouldBe hasAllEnds
            }
        }

        context("a listing that leaves out what it has to tell is not taken for an empty worker") {
            withData(
                nameFn = { it.name },
                HeldCase("an empty object", "{}"),
                HeldCase("no clock", """{"born":1700000000000,"Running":[],"Finished":[]}"""),
                HeldCase("no start of the life", """{"ClockMs":1,"Running":[],"Finished":[]}"""),
                HeldCase("no runs", """{"ClockMs":1,"born":1700000000000,"Finished":[]}"""),
                HeldCase("no ends", """{"ClockMs":1,"born":1700000000000,"Running":[]}"""),
                HeldCase("no JSON", "busy"),
            ) { case -> read(case.body).shouldBeInstanceOf<ListingOutcome.Unreadable>() }
        }

        context("a listing with a row that cannot be read says nothing of what is missing in it") {
            withData(
                nameFn = { it.name },
                HeldCase("a run with too few fields", held(running = """["$TASK",2]""")),
                HeldCase("a run whose task has another form", held(running = """["task",2,"",41]""")),
                HeldCase("a run of a job whose id has a dot", held(running = """["a.b.0.0.0",2,"",41]""")),
                HeldCase("a run whose task is a list", held(running = """[["$TASK"],2,"",41]""")),
                HeldCase("a run without its number", held(running = """["$TASK","x","",41]""")),
                HeldCase("a run whose saved state is an object", held(running = """["$TASK",2,{},41]""")),
                HeldCase("one run of two", held(running = """$RUN,["$TASK"]""")),
                HeldCase("a run that is no row", held(running = """$RUN,7""")),
                HeldCase("an end with too few fields", held(finished = """[58,"$TASK",1]""")),
                HeldCase("an end without its number", held(finished = """["x","$TASK",1,"done",""]""")),
                HeldCase("an end whose task has another form", held(finished = """[58,"task",1,"done",""]""")),
                HeldCase("an end that tells its kind in another way", held(finished = """[58,"$TASK",1,"gone",""]""")),
                HeldCase("an end whose kind is a list", held(finished = """[58,"$TASK",1,["done"],""]""")),
                HeldCase("an end whose saved state is null", held(finished = """[58,"$TASK",1,"done",null]""")),
            ) { case -> read(case.body).shouldBeInstanceOf<ListingOutcome.Unreadable>() }
        }

        context("a figure that cannot be read does not hide a run") {
            withData(
                nameFn = { it.name },
                HeldCase("no figure", held(running = """["$TASK",2,"",41]""")),
                HeldCase("a figure that is a list", held(running = """["$TASK",2,"",41,[]]""")),
                HeldCase("progress that is a list", held(running = """["$TASK",2,"",[],0]""")),
            ) { case ->
                val listing = read(case.body).shouldBeInstanceOf<ListingOutcome.Listed>().listing
                listing.running.single().runId shouldBe 2
            }
        }

        context("a listing with a clock or a number that cannot be is not read") {
            withData(
                nameFn = { it.take(60) },
                held().replace("482113", "9223372036854775807"),
                held().replace("482113", "-1"),
                held().replace("482113", "1e400"),
                held().replace("1700000000000", "-1"),
                held().replace("1700000000000", "123456789012345678901234567890"),
                held(running = RUN.replace(",2,", ",1e400,")),
                held(running = RUN.replace(",2,", ",123456789012345678901234567890,")),
            ) { text -> read(text).shouldBeInstanceOf<ListingOutcome.Unreadable>() }
        }

        context("rough figures that cannot be are brought within their bounds") {
            withData(
                nameFn = { "${it.first}" },
                "41" to 41,
                "-5" to 0,
                "1e400" to 100,
                "1e9" to 100,
                "NaN" to 0,
            ) { (figure, percent) ->
                val listing = read(held(running = RUN.replace(",41,7", ",$figure,$figure")))
                val run =
                    listing
                        .shouldBeInstanceOf<ListingOutcome.Listed>()
                        .listing.running
                        .single()
                run.percent shouldBe percent
                (run.figure in 0..Int.MAX_VALUE) shouldBe true
            }
        }
    })
