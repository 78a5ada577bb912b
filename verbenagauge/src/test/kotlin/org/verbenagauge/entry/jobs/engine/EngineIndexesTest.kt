package org.verbenagauge.entry.jobs.engine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.load.LoadSettings

private const val SEEDS = 60
private const val CROWDED_SEEDS = 8
private const val MAX_WAIT_MILLIS = 500L
private const val FAULTY_MILLIS = 20_000L
private const val FAULT_FREE_MILLIS = 20_000L

/** Computes by a full scan what the engine maintains in indexes. */
private class FullScan(
    private val engine: JobEngine,
    private val now: Long,
) {
    private val state = engine.state
    private val waiting =
        state.jobs.values.filter { job ->
            job.queue.serviceName == SERVICE && job.tasks().any { it.phase == TaskPhase.READY }
        }

    fun withinShare() =
        AccountShareOrder(state.runTimes).sorted(waiting.filter { !it.share.isSurplus }, now).map { it.id }

    fun surplus() = waiting.filter { it.share.isSurplus }.map { it.id }

    fun order() = ObjectiveOrder(state.runTimes).sorted(waiting, now).map { it.id }

    fun waitingByTeam(): Map<String, Amount> =
        waiting
            .groupBy { it.record.teamName }
            .mapValues { (_, jobs) ->
                jobs
                    .flatMap { it.tasks() }
                    .filter { it.phase == TaskPhase.READY }
                    .fold(Amount()) { sum, task -> sum + task.step.room(1) }
            }

    fun pending(): Map<String, Int> =
        state.jobs.values
            .filter { !it.hasStarted && !it.specification.isScheduled }
            .groupingBy { it.queue.name }
            .eachCount()

    fun workerIds() =
        state.workers.values
            .filter { it.listed.serviceName == SERVICE }
            .map { it.id }
            .toSet()

    // Tasks that could start now, found by trying each one on each worker.
    fun startable(): List<String> {
        val limit = checkNotNull(state.configuration).teams.getValue(TEAM).limit
        val earlierRuns = EarlierRuns(state)
        val workers = state.workers.values.filter { it.isSchedulable && !it.hasRunOfUnknownSize && isRecorded(it) }
        return waiting
            .filter { !it.mayHaveEarlierRuns || earlierRuns.areKnown(it.queue, now) }
            .flatMap { it.tasks() }
            .filter { it.phase == TaskPhase.READY && !it.step.specification.isGang }
            .filter { state.quota.allows(TEAM, it.amount, limit) }
            .filter { PackingPlacement().choose(it, workers, now) != null }
            .map { it.id.toString() }
    }

    private fun isRecorded(worker: WorkerEntry) = state.roster.ensureRecorded(worker, QUEUE)

    fun freeByWorker() =
        state.workers.mapValues { (_, worker) ->
            worker.runs.values.fold(worker.listed.capacity) { free, run -> free - run.room }
        }

    fun fullWorkerIds() =
        state.workers.values
            .filter { worker -> worker.runs.values.any { it.reservesWholeWorker } }
            .map { it.id }
            .toSet()
}

// Surplus jobs start only where no job within its share waits for room.
private fun compareShares(
    engine: JobEngine,
    now: Long,
) {
    val scan = FullScan(engine, now)
    val surplus = scan.surplus()
    val order = engine.ready.inOrder(SERVICE, now).map { it.job.id }
    order.take(order.size - surplus.size) shouldBe scan.withinShare()
    order.takeLast(surplus.size).sorted() shouldBe surplus.sorted()
    engine.ready.waitingByTeam(SERVICE) shouldBe scan.waitingByTeam()
    if (!engine.mayStart) return
    val startable = scan.startable().map { it.substringBefore('.') }
    startable.filter { it !in surplus } shouldBe emptyList()
    if (scan.withinShare().isEmpty()) startable shouldBe emptyList()
}

private fun compare(
    engine: JobEngine,
    now: Long,
) {
    val scan = FullScan(engine, now)
    val state = engine.state
    engine.ready.inOrder(SERVICE, now).map { it.job.id } shouldBe scan.order()
    engine.ready.waitingByTeam(SERVICE) shouldBe scan.waitingByTeam()
    engine.pendingByQueue() shouldBe scan.pending()
    state.workersOf(SERVICE).map { it.id }.toSet() shouldBe scan.workerIds()
    state.workers.mapValues { it.value.free } shouldBe scan.freeByWorker()
    state.workers.values
        .filter { it.hasRunOfUnknownSize }
        .map { it.id }
        .toSet() shouldBe scan.fullWorkerIds()
    if (engine.mayStart) scan.startable() shouldBe emptyList()
}

private fun compareSettings(
    engine: JobEngine,
    now: Long,
) {
    compare(engine, now)
    val configured = engine.state.configuration?.queue(QUEUE) ?: return
    engine.state.jobs.values
        .filter { it.queue != configured }
        .map { it.id }
        .shouldBeEmpty()
}

/** Tells for how long tasks that could start have waited. */
private class StartableTasks {
    private var engine: JobEngine? = null
    private val sinceMillis = HashMap<String, Long>()

    /** Records the decision at [now] and returns the longest wait of a task that could still start after it. */
    fun longestWaitMillis(
        engine: JobEngine,
        now: Long,
    ): Long {
        if (this.engine !== engine) sinceMillis.clear()
        this.engine = engine
        val startable = FullScan(engine, now).startable()
        sinceMillis.keys.retainAll(startable.toSet())
        return startable.maxOfOrNull { now - sinceMillis.getOrPut(it) { now } } ?: 0
    }
}

class EngineIndexesTest :
    FunSpec({
        test(
            "after each decision the indexes match a full scan, and no task that fits is left waiting",
        ) {
            (1..SEEDS).forEach { seed ->
                withClue(
                    "seed $seed",
                ) { VirtualPool(seed, afterDecision = ::compare).simulate(FAULTY_MILLIS, FAULT_FREE_MILLIS) }
            }
        }

        // Guards against jobs that stay in the index of the service that their queue had when they were read.
        test("after changes of a queue's settings the indexes match a full scan, and every job ends") {
            (1..SEEDS).forEach { seed ->
                withClue("seed $seed") {
                    val pool = VirtualPool(seed, queueChanges = 12, afterDecision = ::compareSettings)
                    pool.simulate(FAULTY_MILLIS, 3 * FAULT_FREE_MILLIS) shouldBe emptyList()
                    pool.oracle.unfinished().shouldBeEmpty()
                }
            }
        }

        // Guards against passes that end at the same jobs each time, so that those behind them never start.
        test("behind 300 lasting jobs without room no task that fits waits for longer than some decisions") {
            (1..CROWDED_SEEDS).forEach { seed ->
                withClue("seed $seed") {
                    val tasks = StartableTasks()
                    val pool =
                        VirtualPool(seed, crowd = 300, afterDecision = { engine, now ->
                            tasks.longestWaitMillis(engine, now) shouldBeLessThanOrEqual MAX_WAIT_MILLIS
                        })
                    pool.simulate(FAULTY_MILLIS, FAULT_FREE_MILLIS) shouldBe emptyList()
                    pool.oracle.unfinished().shouldBeEmpty()
                }
            }
        }

        test("with account shares, surplus is ordered last and no room is kept empty") {
            val limits = EngineLimits(load = LoadSettings(accountShares = true))
            (1..SEEDS).forEach { seed ->
                withClue("seed $seed") {
                    VirtualPool(
                        seed,
                        limits,
                        afterDecision = ::compareShares,
                    ).simulate(FAULTY_MILLIS, FAULT_FREE_MILLIS) shouldBe
                        emptyList()
                }
            }
        }
    })
