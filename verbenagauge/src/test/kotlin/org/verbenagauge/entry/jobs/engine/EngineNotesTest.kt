package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome

private const val JOB = "0000000000000001"
private val task = TaskId(JOB, 0, 0, 0)

private data class EvidenceCase(
    val name: String,
    val evidence: String,
    val lose: (JobEngine, EngineAction.Start) -> Unit,
)

private fun List<EngineAction>.notes(kind: NoteKind) =
    filterIsInstance<EngineAction.Note>().map { it.note }.filter { it.kind == kind }

class EngineNotesTest :
    FunSpec({
        context("the log line of a second start states how the previous run ended") {
            withData(
                nameFn = { it.name },
                EvidenceCase("an end", "ended FAILED") { engine, start ->
                    engine.handleStartOutcome("w1", start.order, OrderOutcome.Done(1_000), now = 5)
                    val ended = listOf(end(1, task, start.order.runId, EndKind.FAILED))
                    engine.handleListing("w1", listing(ended = ended), 10, 20)
                },
                EvidenceCase("a listing without the run", "not listed") { engine, start ->
                    engine.handleStartOutcome("w1", start.order, OrderOutcome.Done(1_000), now = 5)
                    engine.handleListing("w1", listing(), 10, 20)
                },
                EvidenceCase("a start order that was never sent", "not sent: no connection") { engine, start ->
                    engine.handleStartOutcome("w1", start.order, OrderOutcome.NotSent("no connection"), now = 5)
                },
            ) { case ->
                val engine = readyEngine("w1")
                engine.accept(JOB, job(step(1)), now = 0)
                val start = engine.decide(0, 0).starts().single()
                case.lose(engine, start)
                val again = engine.decide(5_000, 0).notes(NoteKind.RUN_ORDERED).single()
                again.detail shouldContain "run ${start.order.runId} on w1: ${case.evidence}"
            }
        }

        test("a second run that is found for a task is logged with the workers of both runs") {
            val engine = readyEngine("w1", "w2")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            val otherId = listOf("w1", "w2").first { it != start.address.workerId }
            engine.handleListing(otherId, listing(running = listOf(running(task, 1))), 10, 20)
            val note = engine.decide(20, 0).notes(NoteKind.RUN_DOUBLED).single()
            note.subject shouldBe task.toString()
            note.detail shouldContain "found on $otherId beside run ${start.order.runId} on ${start.address.workerId}"
        }

        test("a new owner logs once which workers answered before it started inherited jobs") {
            val engine = readyEngine()
            listOf("w1", "w2").forEach {
                engine.addInheritedWorker(worker(it), now = 0)
                engine.handleListing(it, listing(), sentAtMillis = 0, now = 0)
            }
            engine.inherit(JOB, job(step(1)), progress = null, acceptedAtMillis = 0, now = 0)
            val note = engine.decide(0, 0).notes(NoteKind.RUNS_KNOWN).single()
            note.detail shouldContain "2 workers answered, unlisted none, incomplete none"
            engine.decide(10, 0).notes(NoteKind.RUNS_KNOWN) shouldBe emptyList()
        }
    })
