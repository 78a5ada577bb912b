package org.verbenagauge.standin.soak

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import org.verbenagauge.platform.WireAmount
import org.verbenagauge.platform.WireHeld
import org.verbenagauge.platform.WireHold
import org.verbenagauge.platform.WireOrderAnswer
import org.verbenagauge.platform.WirePace
import org.verbenagauge.platform.WireServer
import org.verbenagauge.platform.WireStart
import org.verbenagauge.platform.WireStop
import org.verbenagauge.platform.wireJson
import org.verbenagauge.standin.jobs.SimulatedWork
import org.verbenagauge.standin.jobs.simulatedWork
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random

/** What the workers of one soak share: the service, and one lock, so that starts are judged as of one moment. */
internal class WorkerFloor(
    val clock: SoakClock,
    val recorder: Recorder,
) {
    val lock = ReentrantLock()
    val workers = ArrayList<SoakWorker>()

    /** Position of the entry that was the owner with a token; faults between entries and workers are aimed by it. */
    val entryByToken = ConcurrentHashMap<Long, Int>()

    /** Lets time pass on all workers. */
    fun advance() =
        lock.withLock {
            workers.forEach { it.advance() }
        }
}

/** A worker over HTTP: leases on a clock of its own, fencing, numbered ends; it only lets time pass. */
internal class SoakWorker(
    firstId: String,
    private val floor: WorkerFloor,
    entryCount: Int,
    private val random: Random,
) {
    private class Running(
        val seen: SeenRun,
        val work: SimulatedWork,
    ) {
        var stopsAtMillis = Long.MAX_VALUE
    }

    private class End(
        val number: Long,
        val seen: SeenRun,
    )

    private val changed = floor.lock.newCondition()
    private val capacity = WireAmount(CAPACITY_CPU, CAPACITY_MB)
    private val running = ArrayList<Running>()
    private val ends = ArrayList<End>()
    private val highestGone = HashMap<String, Long>()
    private var endCounter = 0L
    private var highestToken = 0L
    private var leaseUntilMillis = 0L
    private var bornNanos = 0L
    private var bornUnixMillis = 0L
    private var clockRate = 1.0

    /** Label that only this worker has. */
    val label = "only-$firstId"

    /** Id of the life that runs now. */
    @Volatile var id = firstId
        private set

    /** Whether it is up. */
    @Volatile var isUp = false
        private set

    /** Whether it refuses starts with 503. */
    @Volatile var isUnhealthy = false

    /** Whether it reports that it drains. */
    @Volatile var isDraining = false

    /** Whether its reports reach the store. */
    @Volatile var reachesStore = true

    /** Faults on the paths of the entries to it, in the order of the entries. */
    val paths = List(entryCount) { LinkFaults() }

    /** Its port, which all entries share. */
    val link = Link(random.nextLong(), ::handle, ::faultsOf)

    init {
        begin(firstId)
    }

    /** Begins a life under [newId], which may be the one that it had. */
    fun begin(newId: String) =
        floor.lock.withLock {
            if (isUp) end("restarts")
            id = newId
            isDraining = false
            isUnhealthy = false
            highestGone.clear()
            endCounter = 0
            highestToken = 0
            leaseUntilMillis = 0
            bornNanos = System.nanoTime()
            bornUnixMillis = System.currentTimeMillis()
            clockRate = 1.0 - random.nextDouble() * SLOWEST
            isUp = true
            paths.forEach { it.clear() }
            floor.recorder.note(id, "$id: up, born $bornUnixMillis")
        }

    /** Ends this life at once: everything that runs ends, what it knew is gone. */
    fun end(why: String) =
        floor.lock.withLock {
            advance()
            isUp = false
            floor.recorder.note(id, "$id: $why")
            running.forEach { floor.recorder.ended(it.seen, "") }
            running.clear()
            ends.forEach { floor.recorder.forgotten(it.seen) }
            ends.clear()
            changed.signalAll()
            paths.forEach { it.refusal = Refusal.RESET }
            link.dropLate()
            link.reset()
        }

    /** Number of runs. */
    val runCount: Int get() = floor.lock.withLock { running.size }

    private fun faultsOf(ask: Ask): LinkFaults {
        val token =
            tokenPattern
                .find(ask.body)
                ?.groupValues
                ?.get(1)
                ?.toLong()
        return paths[floor.entryByToken[token ?: 0] ?: 0]
    }

    /** Entry in the list of workers. */
    fun listed() =
        WireServer(
            service = SERVICE,
            address = link.address,
            zone = "zone-0",
            state = if (isDraining) "draining" else "ready",
            capacity = capacity,
            labels = listOf("r1-1", label),
            machine = "m-$id",
            born = bornUnixMillis,
        )

    private fun clockMillis() =
        (TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - bornNanos) * clockRate).toLong() / MICROS

    /** Lets time pass: ends what is done, stopped or lapsed. */
    fun advance() {
        if (!isUp) return
        val now = floor.clock.nowMillis()
        val hasLapsed = clockMillis() > leaseUntilMillis
        running.toList().forEach { run ->
            val durationMillis = run.work.durationMillis
            when {
                hasLapsed -> finish(run, "lapsed")
                now >= run.stopsAtMillis -> finish(run, "stopped")
                durationMillis == null || now - run.seen.startedAtMillis < durationMillis -> Unit
                else -> finish(run, if (run.work.fails) "failed" else Recorder.DONE)
            }
        }
        if (hasLapsed) ends.forEach { floor.recorder.forgotten(it.seen) }
    }

    private fun finish(
        run: Running,
        how: String,
    ) {
        running -= run
        highestGone.merge(run.seen.taskId, run.seen.runId, ::maxOf)
        floor.recorder.ended(run.seen, how)
        ends += End(++endCounter, run.seen)
        changed.signalAll()
    }

    private fun handle(ask: Ask): Reply? =
        floor.lock.withLock {
            floor.advance()
            val intended = ask.headers["x-verbenagauge-expected-instance"]
            when {
                !isUp -> null
                intended != null && intended != id -> Reply(OTHER_LIFE)
                ask.path == "/v1/run-start" ->
                    start(
                        wireJson.decodeFromString(WireStart.serializer(), ask.body),
                        ask.isLate,
                    )
                ask.path == "/v1/run-stop" -> stop(wireJson.decodeFromString(WireStop.serializer(), ask.body))
                ask.path == "/v1/hold" -> hold(wireJson.decodeFromString(WireHold.serializer(), ask.body))
                ask.path == "/v1/pace" -> pace(wireJson.decodeFromString(WirePace.serializer(), ask.body))
                else -> Reply(BAD_REQUEST)
            }
        }

    private fun raise(token: Long) {
        if (token > highestToken) floor.recorder.note(id, "$id: first word of token $token")
        highestToken = maxOf(highestToken, token)
    }

    private fun extend(deadlineMillis: Long?) {
        val until = minOf(deadlineMillis ?: return, clockMillis() + HOLD_MAX_MILLIS)
        leaseUntilMillis = maxOf(leaseUntilMillis, until)
    }

    private fun start(
        order: WireStart,
        isLate: Boolean,
    ): Reply {
        val isThere = running.any { it.seen.taskId == order.task && it.seen.runId == order.runId }
        val outcome =
            when {
                order.fencingToken < highestToken -> "fence"
                isUnhealthy -> "unhealthy"
                isThere -> "there"
                order.runId <= (highestGone[order.task] ?: 0) -> "old"
                order.deadlineMs <= clockMillis() -> "late"
                else -> "begins"
            }
        floor.recorder.ordered(
            id,
            order.task,
            order.runId,
            order.fencingToken,
            if (isLate) "$outcome, late" else outcome,
        )
        if (outcome == "fence" || outcome == "unhealthy") return refused(outcome)
        raise(order.fencingToken)
        if (outcome != "late") extend(order.deadlineMs)
        if (outcome == "begins") begin(order, isLate)
        return if (outcome == "old" || outcome == "late") refused(outcome) else done()
    }

    private fun begin(
        order: WireStart,
        isLate: Boolean,
    ) {
        val seen = SeenRun(id, order.task, order.runId, floor.clock.nowMillis())
        running += Running(seen, simulatedWork(order.specification))
        floor.recorder.started(seen, order.fencingToken, order.specification, capacity, isLate)
    }

    private fun stop(order: WireStop): Reply {
        if (order.fencingToken < highestToken) return refused("fence")
        raise(order.fencingToken)
        highestGone.merge(order.task, order.runId, ::maxOf)
        floor.recorder.note(order.task, "$id: order to stop run ${order.runId}, token ${order.fencingToken}")
        running.filter { it.seen.taskId == order.task && it.seen.runId <= order.runId }.forEach {
            it.stopsAtMillis = minOf(it.stopsAtMillis, floor.clock.nowMillis() + random.nextLong(STOP_MILLIS))
        }
        return done()
    }

    private fun pace(order: WirePace): Reply = if (order.fencingToken < highestToken) refused("fence") else done()

    private fun hold(call: WireHold): Reply {
        if (call.fencingToken < highestToken) return refused("fence")
        raise(call.fencingToken)
        extend(call.deadlineMs)
        val acknowledged = ends.filter { it.number <= call.ackCursor }
        acknowledged.forEach { floor.recorder.acknowledged(it.seen, call.fencingToken) }
        ends -= acknowledged.toSet()
        var leftNanos = TimeUnit.MILLISECONDS.toNanos(call.waitMs ?: 0)
        val life = bornUnixMillis
        while (ends.isEmpty() &&
            leftNanos > 0 &&
            isUp &&
            bornUnixMillis == life
        ) {
            leftNanos = changed.awaitNanos(leftNanos)
        }
        val held =
            WireHeld(
                clockMs = clockMillis(),
                born = bornUnixMillis,
                running = running.map { row(it.seen.taskId, it.seen.runId, "", percent(it), 0) },
                finished = ends.take(PAGE).map { row(it.number, it.seen.taskId, it.seen.runId, it.seen.how, "") },
            )
        return Reply(OK, wireJson.encodeToString(WireHeld.serializer(), held))
    }

    private fun percent(run: Running): Long {
        val durationMillis = run.work.durationMillis ?: return WHOLE
        return (floor.clock.nowMillis() - run.seen.startedAtMillis) * WHOLE / maxOf(1, durationMillis)
    }

    private fun row(vararg fields: Any) =
        JsonArray(fields.map { if (it is Number) JsonPrimitive(it) else JsonPrimitive(it.toString()) })

    private fun done() =
        Reply(OK, wireJson.encodeToString(WireOrderAnswer.serializer(), WireOrderAnswer(clockMillis())))

    private fun refused(reason: String): Reply {
        val answer = WireOrderAnswer(clockMillis(), reason)
        val status = if (reason == "unhealthy") UNHEALTHY else CONFLICT
        return Reply(status, wireJson.encodeToString(WireOrderAnswer.serializer(), answer))
    }

    internal companion object {
        /** Service of all workers. */
        const val SERVICE = "hall"
        private val tokenPattern = Regex("\"FencingToken\":(\\d+)")
        private const val CAPACITY_CPU = 4_000L
        private const val CAPACITY_MB = 8_192L
        private const val MICROS = 1_000L

        // Clocks of workers may be 2% slow (PROTOCOL, Running tasks).
        private const val SLOWEST = 0.02

        // HoldMaxMs, StopTimeoutMs and ends in one answer (DEPLOY, Settings; PROTOCOL, Running tasks).
        private const val HOLD_MAX_MILLIS = 6_000L
        private const val STOP_MILLIS = 900L
        private const val PAGE = 500
        private const val WHOLE = 100L
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val CONFLICT = 409
        private const val OTHER_LIFE = 421
        private const val UNHEALTHY = 503
    }
}
