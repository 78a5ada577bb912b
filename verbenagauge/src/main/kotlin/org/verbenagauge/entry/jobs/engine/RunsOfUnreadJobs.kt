package org.verbenagauge.entry.jobs.engine

/** Listed runs whose jobs have not been read yet. They are kept until the job is read or can no longer appear. */
internal class RunsOfUnreadJobs {
    private val runsByJob = LinkedHashMap<String, MutableList<Run>>()

    /** Adds [run]. */
    fun add(run: Run) {
        runsByJob.getOrPut(run.taskId.jobId) { ArrayList() } += run
    }

    /** Removes and returns the runs of the job [jobId]. */
    fun take(jobId: String): List<Run> = runsByJob.remove(jobId).orEmpty()

    /** Removes and returns the runs for which [isTaken] holds. */
    fun takeMatching(isTaken: (Run) -> Boolean): List<Run> {
        if (runsByJob.isEmpty()) return emptyList()
        val taken = runsByJob.values.flatten().filter(isTaken)
        runsByJob.values.forEach { runs -> runs.removeIf { it in taken } }
        runsByJob.values.removeIf { it.isEmpty() }
        return taken
    }
}
