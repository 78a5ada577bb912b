package org.verbenagauge.entry.jobs.owner

import java.util.PriorityQueue

/** Virtual time: actions run in the order of their time, and at the same time in the order of scheduling. */
internal class VirtualTime {
    private class Event(
        val atMillis: Long,
        val number: Long,
        val action: () -> Unit,
    )

    private val queue = PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.number })
    private var counter = 0L

    /** Time since the start of the simulation. */
    var nowMillis = 0L
        private set

    /** Schedules [action] after [delayMillis]; a negative delay counts as 0. */
    fun after(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        queue += Event(nowMillis + maxOf(0, delayMillis), counter++, action)
    }

    /** Runs the scheduled actions up to [untilMillis], or until [isOver] returns true. */
    fun run(
        untilMillis: Long,
        isOver: () -> Boolean,
    ) {
        while (!isOver()) {
            val next = queue.peek()?.takeIf { it.atMillis <= untilMillis } ?: break
            queue.poll()
            nowMillis = next.atMillis
            next.action()
        }
    }
}
