package org.verbenagauge.entry.state.sim

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.StateMessage
import org.verbenagauge.entry.state.force.ForceLimits
import org.verbenagauge.fake.FakeRows
import kotlin.random.Random

/** Entries joined by a network and a store in memory, in virtual time. */
internal class SimFleet(
    private val random: Random,
    private val linkMillis: () -> Long = { random.nextLong(1, 6) },
    private val storeMillis: () -> Long = { random.nextLong(2, 15) },
) {
    val scheduler = SimScheduler()

    /** Bounds of all entries; no promise rests on how soon a silent member is removed. */
    val limits = ForceLimits(silentMemberMillis = if (random.nextBoolean()) 10_000 else 1_000)
    val faults = SimFaults()
    val rows = FakeRows()

    /** All processes that ever ran. */
    val entries = mutableListOf<SimEntry>()
    val alive: List<SimEntry> get() = entries.filter { it.alive }

    /** Messages sent so far. */
    var sentMessages = 0L
        private set

    /** Entries that the present step may have changed. */
    private val touched = LinkedHashSet<SimEntry>()

    private var nextAddress = 1
    private val addressByEntry = HashMap<String, Int>()

    /** Starts a process of [entryId], at the address of the one before it or at a new one. */
    fun start(
        entryId: String,
        newAddress: Boolean,
    ): SimEntry {
        val known = addressByEntry[entryId].takeUnless { newAddress }
        val address = known ?: nextAddress++
        addressByEntry[entryId] = address
        val entry =
            SimEntry(entryId, address, this, Random(random.nextLong())) { entry ->
                SimTable(entryId, rows, scheduler, faults, random, { maybeSlow(storeMillis()) }, entry::whenAwake)
            }
        entries += entry
        entry.start()
        return entry
    }

    /** Notes that [entry] may have changed. */
    fun touch(entry: SimEntry) {
        touched += entry
    }

    /** Runs for [millis], with [afterEach] after each step. */
    fun pass(
        millis: Long,
        afterEach: (Collection<SimEntry>) -> Unit,
    ) = scheduler.run(scheduler.nowMillis + millis) {
        afterEach(touched)
        touched.clear()
    }

    fun reachableFrom(entry: SimEntry): List<PeerId> =
        alive.filter { it !== entry && !faults.isCut(it.id, entry.id) }.map { it.id }

    fun send(
        from: PeerId,
        to: PeerId,
        message: StateMessage,
    ) {
        sentMessages++
        if (faults.isCut(from, to) || chance(faults.lossPercent)) return
        val copies = if (chance(faults.duplicatePercent)) 2 else 1
        repeat(copies) {
            scheduler.after(maybeSlow(linkMillis())) {
                if (!faults.isCut(from, to)) entries.firstOrNull { it.id == to && it.alive }?.receive(from, message)
            }
        }
    }

    private fun maybeSlow(millis: Long) =
        if (chance(faults.slowPercent)) random.nextLong(millis, faults.slowMillis) else millis

    private fun chance(percent: Int) = percent > 0 && random.nextInt(100) < percent
}
