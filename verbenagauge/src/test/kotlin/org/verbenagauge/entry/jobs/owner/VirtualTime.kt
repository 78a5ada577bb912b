package org.verbenagauge.entry.jobs.owner

import java.util.PriorityQueue

/** Virtual time: actions happen in the order of their time, those of one moment in the order of their making. */
internal class VirtualTime {
    private class Event(
        val atMillis: Long,
        val number: Long,
        val action: () -> Unit,
    )

    private val queue = PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.number })
    private var counter = 0L

    /** Time since the start of the play. */
    var nowMillis = 0L
        private set

    /** Does [action] after [delayMillis]. */
    fun after(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        queue += Event(nowMillis + maxOf(0, delayMillis), counter++, action)
    }

    /** Lets time pass up to [untilMillis], or until [isOver]. */
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
