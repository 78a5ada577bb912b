package org.verbenagauge.standin.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.verbenagauge.platform.WireAmount
import org.verbenagauge.platform.WireJob
import org.verbenagauge.platform.WireStep

private const val JOB = "0000000000000001"
private const val TASK = "$JOB.0.0.0"
private const val NEXT_TASK = "$JOB.0.1.0"
private const val PAYLOAD = "sleep 10"
private val job =
    WireJob(PAYLOAD, listOf(WireStep(count = 1, cpu = 600), WireStep(count = 1, dependencies = listOf(0))))

/** What a worker or a caller sees, one thing after the other. */
private class Course {
    private val limits =
        RuleLimits(contactTimeoutMillis = -1, contactSpareMillis = 0, visibleMillis = -1, cancelMillis = -1)
    private val recorder = Recorder(SoakClock(), limits)
    private var runCounter = 0L

    fun submit(status: Int? = 200) {
        recorder.submitted(JOB, job)
        recorder.submissionAnswered(JOB, status, "entry-0")
    }

    fun start(
        worker: String = "i-0",
        task: String = TASK,
        payload: String = PAYLOAD,
        isLate: Boolean = false,
    ): SeenRun {
        val run = SeenRun(worker, task, ++runCounter, startedAtMillis = runCounter)
        recorder.started(run, token = 1, payload, WireAmount(cpu = 1_000), isLate)
        return run
    }

    fun end(
        run: SeenRun,
        how: String = "done",
    ) = recorder.ended(run, how).also { run.endedAtMillis = runCounter }

    fun note(run: SeenRun) = recorder.acknowledged(run, token = 1)

    fun forget(run: SeenRun) = recorder.forgotten(run)

    fun cancel() {
        recorder.cancelSent(JOB)
        recorder.cancelAnswered(JOB, status = 200)
    }

    fun show(
        state: String,
        status: Int = 200,
    ) = recorder.shown(JOB, status, state, sentAtMillis = 0)

    fun finish() = recorder.finish()

    fun rules(): List<String> = recorder.violations.map { it.rule }
}

private class Case(
    val name: String,
    vararg val rules: String,
    val course: Course.() -> Unit,
)

private val cases =
    listOf(
        Case("one run that ends done and is noted") {
            submit()
            start().also(::end).also(::note)
            start(task = NEXT_TASK).also(::end).also(::note)
            show("completed")
            finish()
        },
        Case("two runs at once on two workers", "TWICE") {
            submit()
            start("i-0")
            start("i-1")
        },
        Case("a run beside one whose worker is down") {
            submit()
            end(start("i-0"), how = "")
            start("i-1")
        },
        Case("a run after a noted end as done", "TWICE") {
            submit()
            start().also(::end).also(::note)
            start("i-1")
        },
        Case("a run after an end as done that is noted later", "TWICE") {
            submit()
            val first = start().also(::end)
            start("i-1")
            note(first)
        },
        Case("a run after an end as done whose lease lapsed before it was acknowledged") {
            submit()
            val first = start().also(::end).also(::forget)
            start("i-1")
            note(first)
        },
        Case("a run after a noted end as lapsed") {
            submit()
            val first = start()
            end(first, how = "lapsed")
            note(first)
            start("i-1")
        },
        Case("a step before the one that it depends on", "ORDER") {
            submit()
            start(task = NEXT_TASK)
        },
        Case("a job that nobody sent", "UNASKED") { start() },
        Case("another payload than was sent", "UNASKED") {
            submit()
            start(payload = "sleep 11")
        },
        Case("a job of which all attempts were refused", "REFUSED") {
            submit(status = 503)
            start().also(::end)
            finish()
        },
        Case("a job of which one attempt was not answered") {
            submit(status = 503)
            submit(status = null)
            start().also(::end)
            finish()
        },
        Case("a start long after an acknowledged cancellation", "UNASKED") {
            submit()
            cancel()
            start()
        },
        Case("a start that a worker carried out late after a cancellation") {
            submit()
            cancel()
            start(isLate = true)
        },
        Case("an accepted job that is shown as unknown", "LOST") {
            submit()
            show("", status = 410)
        },
        Case("a job that is shown as completed before its last task has ended", "MIXED") {
            submit()
            start().also(::end).also(::note)
            show("completed")
        },
        Case("a job that is shown as failed without failed runs", "LOST") {
            submit()
            show("failed")
        },
        Case("a run after as many failed runs as the queue allows", "BUDGET") {
            submit()
            repeat(3) { start().also { run -> end(run, how = "failed") }.also(::note) }
            start()
        },
        Case("two runs that do not fit on their worker", "LIMIT") {
            submit()
            start().also(::end).also(::note)
            submit()
            start("i-1", NEXT_TASK)
            start("i-1", "$JOB.0.0.1")
            start("i-1", "$JOB.0.0.2")
        },
        Case("an accepted job that never ends", "LOST") {
            submit()
            finish()
        },
    )

class RecorderTest :
    FunSpec({
        cases.forEach { case ->
            test("${case.name}: ${case.rules.joinToString().ifEmpty { "no rule is broken" }}") {
                Course().apply { case.course(this) }.rules() shouldBe case.rules.toList()
            }
        }
    })
