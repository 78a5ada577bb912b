package org.verbenagauge.entry.jobs.owner

/** Trace of one simulation; it records only if [isOn], which is the case when a failed seed is run again. */
internal class FuzzTrace(
    private val time: VirtualTime,
    private val isOn: Boolean,
) {
    private val recorded = ArrayList<String>()

    /** Records [line] with the current virtual time. */
    fun add(line: () -> String) {
        if (isOn) recorded += "${time.nowMillis} ${line()}"
    }

    /** Returns the recorded lines that contain one of [subjects]. */
    fun about(subjects: Collection<String>): List<String> = recorded.filter { line -> subjects.any { it in line } }
}
