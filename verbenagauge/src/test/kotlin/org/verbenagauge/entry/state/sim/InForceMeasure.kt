package org.verbenagauge.entry.state.sim

import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Team
import org.verbenagauge.entry.state.log.ProposeOutcome
import org.verbenagauge.entry.state.log.changeLog
import org.verbenagauge.fake.FakeClock
import kotlin.random.Random

private const val SEED = 1L
private const val CHANGES = 400
private const val WARM_UP_MILLIS = 30_000L
private const val MAX_GAP_MILLIS = 3_000L
private const val POLL_MILLIS = 500L
private const val IDLE_MILLIS = 60_000L

/** Times of one change in milliseconds after it was stored. */
private class ChangeTimes(
    val heldMillis: Long,
    val knownMillis: Long,
)

/** Time for a change to be in force, in virtual time over the real cores. */
private class InForceMeasure(
    private val entryCount: Int,
    private val maxLinkMillis: Long,
) {
    private val random = Random(SEED)
    private val fleet =
        SimFleet(random, linkMillis = { random.nextLong(1, maxLinkMillis + 1) }, storeMillis = ::storeMillis)
    private var storedAtMillis: Long? = null
    private var heldAtMillis: Long? = null
    private var knownAtMillis: Long? = null
    private var version = 0L

    fun run(): List<ChangeTimes> {
        repeat(entryCount) { fleet.start("e$it", newAddress = true) }
        fleet.pass(WARM_UP_MILLIS) {}
        return List(CHANGES) { change(it) }
    }

    fun idleMessagesPerSecond(): Double {
        val before = fleet.sentMessages
        fleet.pass(IDLE_MILLIS) {}
        return (fleet.sentMessages - before) * 1_000.0 / IDLE_MILLIS / entryCount
    }

    fun storeOutage() {
        fleet.faults.storeDown = true
        fleet.pass(WARM_UP_MILLIS) {}
        check(fleet.alive.all { it.mayAct() }) { "an entry went stale during the outage" }
    }

    fun storeBack() {
        check(fleet.alive.all { it.mayAct() }) { "an entry went stale during the outage" }
        fleet.faults.storeDown = false
        fleet.pass(WARM_UP_MILLIS) {}
    }

    private fun change(number: Int): ChangeTimes {
        storedAtMillis = null
        heldAtMillis = null
        knownAtMillis = null
        val operator = fleet.entries.random(random)
        val edit = ConfigurationEdit.Replace(Configuration(teams = listOf(Team("t", maxRunning = number))))
        operator.operate(edit, "op$number") { outcome ->
            storedAtMillis = fleet.scheduler.nowMillis
            version = (outcome as ProposeOutcome.Stored).version
        }
        while (knownAtMillis == null) fleet.pass(100) { look(operator) }
        fleet.pass(random.nextLong(MAX_GAP_MILLIS)) {}
        val storedMillis = storedAtMillis!!
        return ChangeTimes(heldAtMillis!! - storedMillis, knownAtMillis!! - storedMillis)
    }

    private fun look(operator: SimEntry) {
        if (storedAtMillis == null || knownAtMillis != null) return
        val now = fleet.scheduler.nowMillis
        if (heldAtMillis == null && fleet.entries.all { it.published.version >= version }) heldAtMillis = now
        if (operator.inForceVersion >= version) knownAtMillis = now
    }

    private fun storeMillis() = random.nextLong(2, 15)

    /** Times until every entry holds a change when each reads the head every [POLL_MILLIS]. */
    fun plainPoll(): List<Long> {
        val logs =
            List(
                entryCount,
            ) { changeLog(table("poll$it"), FakeClock(), random) { millis -> fleet.scheduler.pause(millis) } }
        logs.forEach { log ->
            fleet.scheduler.launch {
                fleet.scheduler.pause(random.nextLong(POLL_MILLIS))
                while (true) {
                    log.refresh()
                    fleet.scheduler.pause(POLL_MILLIS)
                }
            }
        }
        fleet.pass(WARM_UP_MILLIS) {}
        return List(CHANGES) { number ->
            var stored: Pair<Long, Long>? = null
            var heldAt: Long? = null
            val edit = ConfigurationEdit.Replace(Configuration(teams = listOf(Team("t", maxRunning = number))))
            fleet.entries.random(random).operate(edit, "poll$number") {
                stored = fleet.scheduler.nowMillis to (it as ProposeOutcome.Stored).version
            }
            while (heldAt == null) {
                fleet.pass(100) {
                    val (_, version) = stored ?: return@pass
                    if (heldAt == null &&
                        logs.all { it.state.value.version >= version }
                    ) {
                        heldAt = fleet.scheduler.nowMillis
                    }
                }
            }
            fleet.pass(random.nextLong(MAX_GAP_MILLIS)) {}
            heldAt!! - stored!!.first
        }
    }

    private fun table(entryId: String) =
        SimTable(entryId, fleet.rows, fleet.scheduler, fleet.faults, random, ::storeMillis) { it() }
}

private fun quantiles(millis: List<Long>): String {
    val sorted = millis.sorted()
    return "p50 ${sorted[sorted.size / 2]} p99 ${sorted[sorted.size * 99 / 100]} max ${sorted.last()} ms"
}

/** Prints the time for a change to be in force with 8 and with 40 entries. */
fun main() {
    listOf(8 to 3L, 40 to 40L).forEach { (entries, maxLinkMillis) ->
        val measure = InForceMeasure(entries, maxLinkMillis)
        val times = measure.run()
        println("$entries entries, links 1..$maxLinkMillis ms, seed $SEED, $CHANGES changes")
        println("  held by all after stored:          ${quantiles(times.map { it.heldMillis })}")
        println("  known in force everywhere:         ${quantiles(times.map { it.knownMillis })}")
        println("  idle messages sent by an entry:    ${measure.idleMessagesPerSecond()} a second")
        measure.storeOutage()
        println("  messages with the store down:      ${measure.idleMessagesPerSecond()} a second")
        measure.storeBack()
        println("  held by all, plain poll of ${POLL_MILLIS} ms: ${quantiles(measure.plainPoll())}")
    }
}
