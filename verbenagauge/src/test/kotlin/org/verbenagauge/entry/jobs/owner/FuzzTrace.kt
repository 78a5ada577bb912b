package org.verbenagauge.entry.jobs.owner

/** What happened in one play, kept only when [isOn]: a failed seed is played again with it. */
internal class FuzzTrace(
    private val time: VirtualTime,
    private val isOn: Boolean,
) {
    private val lines = ArrayList<String>()

    /** Keeps [line]. */
    fun add(line: () -> String) {
        if (isOn) lines += "${time.nowMillis} ${line()}"
    }

    /** Lines that name one of [subjects]. */
    fun about(subjects: Collection<String>): List<String> = lines.filter { line -> subjects.any { it in line } }
}
