package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import java.util.TreeMap

/** In-memory model of the platform's store: holds the rows of all tables; each call is atomic. */
internal class VirtualStore(
    private val time: VirtualTime,
) {
    private class Waiter(
        val table: String,
        val afterVersion: Long,
        val onChange: (RowBatch) -> Unit,
    ) {
        var isDone = false
    }

    private val rows = HashMap<RowPlace, TreeMap<String, StoredRow>>()
    private val history = HashMap<String, ArrayList<StoredRow>>()
    private val waiters = ArrayList<Waiter>()

    /** Version of the newest transaction. */
    var version = 0L
        private set

    /** Applies [changes] if all [expectations] hold; otherwise returns the rows that they name as a conflict. */
    fun apply(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
    ): TransactionOutcome {
        val isMet = expectations.all { (row(it.place, it.key)?.version ?: 0) == it.version }
        if (!isMet) return TransactionOutcome.Conflict(expectations.mapNotNull { row(it.place, it.key) })
        if (changes.isEmpty()) return applied()
        version++
        changes.forEach { change ->
            val place = rows.getOrPut(change.place) { TreeMap() }
            val row = StoredRow(change.place.table, change.key, change.value, version)
            if (change.value == null) place.remove(change.key) else place[change.key] = row
            history.getOrPut(change.place.table) { ArrayList() } += row
        }
        val tables = changes.mapTo(HashSet()) { it.place.table }
        waiters.filter { it.table in tables }.forEach(::answer)
        waiters.removeIf { it.isDone }
        return applied()
    }

    private fun applied() = TransactionOutcome.Applied(version, STEADY_BASE_MILLIS + time.nowMillis)

    private fun answer(waiter: Waiter) {
        if (waiter.isDone) return
        waiter.isDone = true
        waiter.onChange(RowBatch(changes(waiter.table, waiter.afterVersion), version))
    }

    /** Returns the row [key] at [place], or null. */
    fun row(
        place: RowPlace,
        key: String,
    ): StoredRow? = rows[place]?.get(key)

    /** Returns up to [maxRows] rows at [place] with keys above [after], or from the first key if null. */
    fun page(
        place: RowPlace,
        after: String?,
        maxRows: Int,
    ): List<StoredRow> {
        val all = rows[place] ?: return emptyList()
        val rest = if (after == null) all else all.tailMap(after, false)
        return rest.values.take(maxRows)
    }

    /**
     * Calls [onChange] with the changes of [table] after [afterVersion] as soon as there are any, or with an empty
     * batch after [waitMillis].
     */
    fun await(
        table: String,
        afterVersion: Long,
        waitMillis: Long,
        onChange: (RowBatch) -> Unit,
    ) {
        val waiter = Waiter(table, afterVersion, onChange)
        if (changes(table, afterVersion).isNotEmpty()) {
            answer(waiter)
            return
        }
        waiters += waiter
        time.after(waitMillis) {
            answer(waiter)
            waiters -= waiter
        }
    }

    private fun changes(
        table: String,
        afterVersion: Long,
    ): List<StoredRow> {
        val all = history[table] ?: return emptyList()
        val first = all.indexOfLast { it.version <= afterVersion } + 1
        return all.subList(first, all.size).toList()
    }

    private companion object {
        // Not the base of any process: clocks of different machines must not be compared.
        const val STEADY_BASE_MILLIS = 70_000L
    }
}
