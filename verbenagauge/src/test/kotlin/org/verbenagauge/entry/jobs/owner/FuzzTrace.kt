package org.verbenagauge.entry.jobs.owner

/** What happened in one play, kept only when [isOn]: a failed seed is played again with it. */
internal class FuzzTrace(
    private val time: VirtualTime,
    private val isOn: Boolean,
) {
    private val recorded = ArrayList<String>()

    /** Keeps [line]. */
    fun add(line: () -> String) {
        if (isOn) recorded += "${time.nowMillis} ${line()}"
    }

    /** Lines that name one of [subjects]. */
    fun about(subjects: Collection<String>): List<String> = recorded.filter { line -> subjects.any { it in line } }
}
