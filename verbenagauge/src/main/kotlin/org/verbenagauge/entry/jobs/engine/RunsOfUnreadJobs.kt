package org.verbenagauge.entry.jobs.engine

/** Runs that workers list of jobs that are not read yet, until the job is read or cannot come any more. */
internal class RunsOfUnreadJobs {
    private val runsByJob = LinkedHashMap<String, MutableList<Run>>()

    /** Keeps [run]. */
    fun add(run: Run) {
        runsByJob.getOrPut(run.taskId.jobId) { ArrayList() } += run
    }

    /** Takes out the runs of the job [jobId]. */
    fun take(jobId: String): List<Run> = runsByJob.remove(jobId).orEmpty()

    /** Takes out the runs for which [isTaken] holds. */
    fun takeMatching(isTaken: (Run) -> Boolean): List<Run> {
        if (runsByJob.isEmpty()) return emptyList()
        val taken = runsByJob.values.flatten().filter(isTaken)
        runsByJob.values.forEach { runs -> runs.removeIf { it in taken } }
        runsByJob.values.removeIf { it.isEmpty() }
        return taken
    }
}
