package org.verbenagauge.entry.logging

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLongArray

/**
 * Bounded queue between those that log and a reader of standard output that may stall. Offering never waits: a line that
 * finds no room, or that exceeds the rate of its event, is left out and counted; the counts are written as soon as lines
 * can be written again.
 *
 * @param sink writes one line; may block.
 * @param nowMillis steady clock.
 */
internal class LogQueue(
    private val sink: (LogLine) -> Unit,
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
    capacity: Int = CAPACITY,
    private val linesPerSecond: Int = LINES_PER_SECOND,
) {
    private val queue = ArrayBlockingQueue<LogLine>(capacity)
    private val leftOut = AtomicLongArray(Event.entries.size)
    private val written = AtomicLongArray(Event.entries.size)

    @Volatile private var reportedAtMillis = nowMillis() - MILLIS_PER_SECOND
    private val secondStartMillis = AtomicLongArray(Event.entries.size)

    /** Lines of [event] that were left out and not reported yet. */
    fun leftOut(event: Event): Long = leftOut[event.ordinal]

    /** Queues [line], or counts it as left out. */
    fun offer(line: LogLine) {
        val index = line.event.ordinal
        if (!withinRate(index) || !queue.offer(line)) leftOut.incrementAndGet(index)
    }

    private fun withinRate(index: Int): Boolean {
        val now = nowMillis()
        if (now - secondStartMillis[index] >= MILLIS_PER_SECOND) {
            secondStartMillis[index] = now
            written[index] = 0
        }
        return written.incrementAndGet(index) <= linesPerSecond
    }

    /** Starts the thread that writes lines. */
    fun start() {
        val thread = Thread({ while (true) writeNext(IDLE_MILLIS) }, "log")
        thread.isDaemon = true
        thread.start()
    }

    /** Writes the next line, waiting up to [waitMillis], and once a second what was left out before it. */
    fun writeNext(waitMillis: Long) {
        val line = queue.poll(waitMillis, TimeUnit.MILLISECONDS)
        if (line != null) sink(line)
        // While lines are left out all the time, a report after each written one would be most of the log.
        val isDue = nowMillis() - reportedAtMillis >= MILLIS_PER_SECOND
        if (isDue && (line == null || queue.isEmpty())) reportLeftOut()
    }

    /** Writes all lines that wait, and what was left out. */
    fun flush() {
        while (queue.isNotEmpty()) writeNext(0)
        reportLeftOut()
    }

    private fun reportLeftOut() {
        reportedAtMillis = nowMillis()
        Event.entries.forEach { event ->
            val count = leftOut.getAndSet(event.ordinal, 0)
            if (count > 0) sink(LogLine(Event.LINES_LEFT_OUT, "${event.name}: $count lines were left out"))
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val MILLIS_PER_SECOND = 1_000L
        const val CAPACITY = 2_048

        // Of one event; the busiest decisions come some hundred times a second.
        const val LINES_PER_SECOND = 400
        const val IDLE_MILLIS = 1_000L
    }
}

/**
 * One line of the log.
 *
 * @property event event.
 * @property message sentence.
 * @property subject request, job, run, worker or machine that it concerns; empty for none.
 */
internal class LogLine(
    val event: Event,
    val message: String,
    val subject: String = "",
)
