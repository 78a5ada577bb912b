package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.front.CancelOutcome
import org.verbenagauge.entry.jobs.front.JobLookup
import org.verbenagauge.entry.jobs.front.SubmitOutcome
import org.verbenagauge.entry.jobs.records.JobRecord
import kotlin.random.Random

private const val WORKER_CPU_MILLIS = 4_000L
private const val MAX_ATTEMPTS = 3
private const val WALL_BASE_MILLIS = 1_700_000_000_000L
private const val TROUBLE_MILLIS = 22_000L
private const val CALM_MILLIS = 45_000L

/** Plays one seed: entries with the real owner and front, a store, workers and callers, with trouble of every kind. */
internal class TakeoverPlay(
    seed: Long,
    isTraced: Boolean = false,
) {
    private val plan = Random(seed)
    private val random = Random(seed * SEED_FACTOR + 1)
    private val time = VirtualTime()

    /** What happened. */
    val trace = FuzzTrace(time, isTraced)
    private val oracle = TakeoverOracle(time, WORKER_CPU_MILLIS, MAX_ATTEMPTS)
    private val store = VirtualStore(time)
    private val trouble = StoreTrouble(time, random)
    private val wire = WireTrouble(time, random)
    private val machines = List(plan.nextInt(3, 6), ::machine)
    private val world =
        FuzzWorld(
            time = time,
            random = random,
            store = store,
            trouble = trouble,
            wire = wire,
            machines = machines,
            oracle = oracle,
            trace = trace,
            configuration = configuration(maxAttempts = MAX_ATTEMPTS),
        )
    private val entries = List(plan.nextInt(2, 5), ::entry)

    /** Kinds of trouble. */
    val kinds = ArrayList<String>()
    private var isCalm = false
    private var jobsOpen = 0
    private var jobsMade = 0

    private fun machine(index: Int): WorkerMachine {
        val rate = 0.98 + plan.nextDouble() * 0.02
        return WorkerMachine(index, WORKER_CPU_MILLIS, time, store, trouble, trace) { workerId, number ->
            val born = WALL_BASE_MILLIS + time.nowMillis
            WorkerLife(LifeId(workerId, number), born, rate, time, random, oracle, trace)
        }
    }

    // Clocks of machines may differ by two seconds.
    private fun entry(index: Int): FuzzEntry {
        val skewMillis = plan.nextLong(-1_000, 1_000)
        return FuzzEntry("e$index", index, WALL_BASE_MILLIS + skewMillis, world) { entries }
    }

    /** Plays; returns what was broken. */
    fun play(): List<Violation> {
        oracle.isListed = { life -> machines.any { it.workerId == life.workerId && it.isListed } }
        machines.forEach { it.start(plan.nextLong(1_500)) }
        entries.forEach { entry -> time.after(plan.nextLong(1_500)) { entry.start() } }
        val jobs = plan.nextInt(8, 26)
        jobsOpen = jobs
        jobsMade = jobs
        repeat(jobs) { number -> time.after(plan.nextLong(500, TROUBLE_MILLIS)) { handIn(number) } }
        planTrouble()
        time.after(TROUBLE_MILLIS, ::calm)
        time.run(TROUBLE_MILLIS + CALM_MILLIS) { oracle.violations.isNotEmpty() || isCalm && isDone() }
        if (oracle.violations.isEmpty()) oracle.concludeUnfinished()
        return oracle.violations
    }

    private var calmSinceMillis = 0L

    private fun isDone() =
        jobsOpen == 0 && time.nowMillis - calmSinceMillis > SETTLE_MILLIS && oracle.unfinished().isEmpty()

    private fun calm() {
        trace.add { "calm begins" }
        isCalm = true
        calmSinceMillis = time.nowMillis
        wire.calm()
        machines.forEach { it.unmute() }
        time.after(LONGEST_DOWN_MILLIS) { entries.forEach { it.start() } }
    }

    private fun planTrouble() {
        some(3, 6, "pause") { pause() }
        some(2, 3, "kill") { kill() }
        some(3, 2, "stop") { stop() }
        some(2, 5, "beats") { loseBeats() }
        some(3, 2, "store down") { trouble.takeDown(random.nextLong(300, 7_000)) }
        some(2, 4, "turned away") { refuseOne() }
        some(2, 4, "suspected") { suspect() }
        some(2, 4, "store noise") { trouble.disturb(random.nextLong(500, 8_000)) }
        some(2, 4, "feed lag") { trouble.lag(random.nextLong(500, 6_000)) }
        some(2, 4, "unlisted") { machines.random(random).mute(random.nextLong(3_000, 14_000)) }
        some(3, 3, "crash") { crash() }
        some(2, 4, "wire noise") { wire.disturb(random.nextLong(500, 8_000)) }
        some(2, 5, "cut") { cutWorker() }
        some(40, 4, "pages") { machines.random(random).life?.endOthers() }
    }

    // Each kind of trouble comes in some seeds only, so that what breaks a rule is easier to tell.
    private fun some(
        oneIn: Int,
        most: Int,
        name: String,
        action: () -> Unit,
    ) {
        if (plan.nextInt(oneIn) != 0) return
        kinds += name
        repeat(plan.nextInt(1, most + 1)) {
            time.after(plan.nextLong(1_000, TROUBLE_MILLIS)) { if (!isCalm) action() }
        }
    }

    private fun ownerOrAny(): FuzzEntry {
        val owner = entries.firstOrNull { it.isOwner }
        return if (owner != null && random.nextInt(OTHERS_ONE_IN) != 0) owner else entries.random(random)
    }

    private fun pause() {
        val steps = if (random.nextBoolean()) random.nextInt(PAUSE_STEPS) else null
        val forMillis = if (random.nextBoolean()) random.nextLong(300, 3_000) else random.nextLong(1_000, 8_000)
        ownerOrAny().pause(steps, forMillis, leavesSteadyClockOut = random.nextInt(3) == 0)
    }

    private fun kill() {
        val entry = ownerOrAny()
        handInSome(3_000)
        entry.kill()
        time.after(random.nextLong(300, 5_000)) { entry.start() }
    }

    private fun stop() {
        val entry = ownerOrAny()
        handInSome(2_000)
        val graceMillis = random.nextLong(500, 2_500)
        entry.stop(graceMillis)
        time.after(graceMillis + random.nextLong(100, 3_000)) { entry.start() }
    }

    private fun loseBeats() {
        val from = ownerOrAny()
        val forMillis = random.nextLong(800, 4_000)
        trace.add { "entry ${from.id} is not heard by the others for $forMillis ms" }
        entries.filter { it !== from }.forEach { wire.cut(from.id, it.id, forMillis) }
    }

    private fun refuseOne() {
        val entry = ownerOrAny()
        val forMillis = random.nextLong(500, 6_000)
        trace.add { "entry ${entry.id} is turned away by the store for $forMillis ms" }
        trouble.refuse(entry.id, forMillis)
    }

    // The others take over while the lease of the owner is still valid.
    private fun suspect() {
        val owner = entries.firstOrNull { it.isOwner } ?: return
        val forMillis = random.nextLong(900, 2_500)
        trace.add { "entry ${owner.id} is not heard by the others and stores nothing for $forMillis ms" }
        trouble.refuseWrites(owner.id, forMillis)
        entries.filter { it !== owner }.forEach { wire.cut(owner.id, it.id, forMillis) }
        handInSome(2_500)
    }

    // Around a change of the owner.
    private fun handInSome(withinMillis: Long) {
        repeat(random.nextInt(MOST_JOBS_AROUND)) {
            jobsOpen++
            val number = jobsMade++
            time.after(random.nextLong(withinMillis)) { handIn(number) }
        }
    }

    private fun crash() {
        machines.random(random).crash(random.nextLong(200, 4_000), isRenamed = random.nextBoolean())
    }

    private fun cutWorker() {
        val machine = machines.random(random)
        val entry = ownerOrAny()
        val forMillis = random.nextLong(400, 9_000)
        val ways = random.nextInt(3)
        trace.add { "entry ${entry.id} and ${machine.workerId} are cut for $forMillis ms, ways $ways" }
        if (ways != 1) wire.cut(entry.id, machine.address, forMillis)
        if (ways != 2) wire.cut(machine.address, entry.id, forMillis)
    }

    private fun handIn(number: Int) {
        val id = "job$number-"
        val record = draw()
        oracle.handedIn(id, record)
        attempt(id, record, MOST_ATTEMPTS)
        if (random.nextInt(CANCEL_ONE_IN) == 0) time.after(random.nextLong(3_000)) { cancel(id, MOST_ATTEMPTS) }
        repeat(LOOKUPS) { time.after(random.nextLong(TROUBLE_MILLIS)) { lookUp(id) } }
    }

    private fun draw(): JobRecord {
        if (random.nextInt(LASTING_ONE_IN) == 0) return job(step(2, LASTING_CPU_MILLIS, isLasting = true))
        val first = step(random.nextInt(1, 5), random.nextLong(300, 1_500))
        val second = step(random.nextInt(1, 4), random.nextLong(300, 1_500), dependsOn = listOf(0))
        return if (random.nextBoolean()) job(first) else job(first, second)
    }

    private fun attempt(
        id: String,
        record: JobRecord,
        left: Int,
    ) {
        val entry = entries.random(random)
        var isAnswered = false

        fun again() {
            if (isAnswered) return
            isAnswered = true
            if (left > 1) time.after(random.nextLong(100, 1_000)) { attempt(id, record, left - 1) } else jobsOpen--
        }
        oracle.attempted(id)
        entry.submit(id, record, CALL_MILLIS) { outcome ->
            trace.add { "${entry.id} answers the caller of $id: $outcome" }
            when {
                outcome is SubmitOutcome.Refused -> {
                    oracle.refused(id)
                    again()
                }

                isAnswered -> Unit
                outcome is SubmitOutcome.Accepted -> {
                    isAnswered = true
                    jobsOpen--
                    oracle.accepted(id)
                    // Now and then the same call comes once more after it was answered.
                    if (random.nextInt(REPEAT_ONE_IN) == 0) time.after(random.nextLong(4_000)) { repeated(id, record) }
                }

                else -> again()
            }
        }
        time.after(CALL_MILLIS) { again() }
    }

    private fun repeated(
        id: String,
        record: JobRecord,
    ) {
        oracle.attempted(id)
        entries.random(random).submit(id, record, CALL_MILLIS) {}
    }

    private fun cancel(
        id: String,
        left: Int,
    ) {
        oracle.cancelling(id)
        val entry = entries.random(random)
        var isAnswered = false
        entry.cancel(id, CALL_MILLIS) { outcome ->
            if (outcome is CancelOutcome.Unsettled || isAnswered) return@cancel
            isAnswered = true
            trace.add { "${entry.id} answers the caller who cancels $id: $outcome" }
            if (outcome is CancelOutcome.Cancelled) oracle.cancelled(id)
        }
        time.after(CALL_MILLIS) { if (!isAnswered && left > 1) cancel(id, left - 1) }
    }

    private fun lookUp(id: String) {
        val entry = entries.random(random)
        val isOwed = oracle.isAccepted(id)
        entry.lookup(id, CALL_MILLIS) { outcome ->
            when (outcome) {
                is JobLookup.Found -> oracle.shown(id, outcome.state)
                is JobLookup.Unknown -> if (isOwed) oracle.shown(id, null)
                is JobLookup.Unavailable -> Unit
            }
        }
    }

    private companion object {
        const val SEED_FACTOR = 1_000_003L
        const val SETTLE_MILLIS = 9_000L
        const val LONGEST_DOWN_MILLIS = 500L
        const val OTHERS_ONE_IN = 5
        const val MOST_JOBS_AROUND = 4
        const val PAUSE_STEPS = 30
        const val MOST_ATTEMPTS = 5
        const val CALL_MILLIS = 3_000L
        const val CANCEL_ONE_IN = 7
        const val REPEAT_ONE_IN = 8
        const val LOOKUPS = 3
        const val LASTING_ONE_IN = 6

        // Small, so that room for others is left beside all of them.
        const val LASTING_CPU_MILLIS = 100L
    }
}
