package org.verbenagauge.entry.jobs.engine

import java.util.TreeSet

/**
 * Decides when the occurrences of jobs are opened, that is, when their tasks take memory and may start. The number of
 * open tasks is bounded over all jobs of the owner. What is not open costs nothing: it is derived from the
 * specification and the occurrences that are done.
 *
 * The bound is shared by dynamic thresholds: a queue may open tasks while it has no more of them than remain free
 * afterwards, and a job that has open tasks while it has no more than a part of that. So capacity always remains for
 * other queues and jobs, whatever the number of those that would use all of it. A first occurrence that is small beside
 * the free capacity is always opened.
 *
 * @param maxOpenTasks bound of the open tasks; exceeded only by occurrences that earlier owners opened.
 * @param open opens an occurrence of a job.
 */
internal class OccurrenceOpener(
    private val maxOpenTasks: Long,
    private val open: (job: JobEntry, number: Int, now: Long) -> Unit,
) {
    private val byDueTime = TreeSet(compareBy<JobEntry>({ it.nextDueUnixMillis }, { it.id }))
    private val due = LinkedHashSet<JobEntry>()
    private val openByQueue = HashMap<String, Long>()

    /** Number of tasks of all open occurrences. */
    var openTasks = 0L
        private set

    /** Number of jobs with an occurrence that is due and not open. */
    val waitingJobs: Int get() = due.size

    /** Adds [job]; an occurrence that does not depend on the wall clock is opened at once if it may be. */
    fun add(
        job: JobEntry,
        now: Long,
    ) {
        enqueue(job, Long.MIN_VALUE)
        if (job in due && mayOpen(job)) openNext(job, now, unixMillis = Long.MIN_VALUE)
    }

    /** Counts an occurrence of [job] that was opened. */
    fun recordOpened(job: JobEntry) = change(job, job.numbers.tasksPerOccurrence)

    /** Counts an occurrence of [job] that was closed, since it is done. */
    fun recordClosed(job: JobEntry) = change(job, -job.numbers.tasksPerOccurrence)

    /** Removes [job], which has ended, with its open occurrences. */
    fun remove(job: JobEntry) {
        byDueTime -= job
        due -= job
        change(job, -job.openTasks)
    }

    private fun change(
        job: JobEntry,
        tasks: Long,
    ) {
        if (tasks == 0L) return
        job.openTasks += tasks
        openTasks += tasks
        openByQueue.merge(job.queue.name, tasks) { sum, added -> (sum + added).takeIf { it != 0L } }
    }

    /** Opens occurrences that are due at [unixMillis], a bounded number of tasks at a time. */
    fun openDue(
        unixMillis: Long,
        now: Long,
    ) {
        while (byDueTime.isNotEmpty() && byDueTime.first().nextDueUnixMillis <= unixMillis) due += byDueTime.pollFirst()
        val openedUntil = openTasks + MAX_TASKS_PER_PASS
        while (due.isNotEmpty() && openTasks < minOf(openedUntil, maxOpenTasks)) {
            val before = openTasks
            due.sortedWith(leastOpenFirst).forEach { job ->
                if (openTasks < openedUntil && mayOpen(job)) openNext(job, now, unixMillis)
            }
            if (openTasks == before) return
        }
    }

    private val leastOpenFirst =
        compareBy<JobEntry>(
            { openByQueue[it.queue.name] ?: 0L },
            { it.openTasks },
            { it.nextDueUnixMillis },
            { it.id },
        )

    private fun mayOpen(job: JobEntry): Boolean {
        val tasks = job.numbers.tasksPerOccurrence
        val freeBefore = maxOpenTasks - openTasks
        val queueFree = freeBefore - tasks - (openByQueue[job.queue.name] ?: 0L)
        if (job.openTasks > 0) return job.openTasks + tasks <= queueFree / JOB_DIVISOR
        return tasks <= queueFree || tasks <= freeBefore / SMALL_DIVISOR
    }

    private fun openNext(
        job: JobEntry,
        now: Long,
        unixMillis: Long,
    ) {
        // The wall clock may have been set back, and listings of workers open occurrences as well.
        enqueue(job, unixMillis)
        if (job !in due) return
        open(job, job.nextOccurrence, now)
        enqueue(job, unixMillis)
    }

    private fun enqueue(
        job: JobEntry,
        unixMillis: Long,
    ) {
        due -= job
        byDueTime -= job
        val number = job.nextUnopened()
        if (job.state.isFinal || number == null) return
        job.nextOccurrence = number
        val dueUnixMillis = job.specification.dueUnixMillis(number)
        val isScheduled = job.specification.isScheduled
        job.nextDueUnixMillis = if (isScheduled) dueUnixMillis else job.record.acceptedUnixMillis
        if (!isScheduled || dueUnixMillis <= unixMillis) due += job else byDueTime += job
    }

    private companion object {
        // Keeps a decision short, so that the lease is renewed in time.
        const val MAX_TASKS_PER_PASS = 10_000L

        // Jobs that would use all capacity of a queue leave the largest part of it to other jobs.
        const val JOB_DIVISOR = 8L
        const val SMALL_DIVISOR = 16L
    }
}
