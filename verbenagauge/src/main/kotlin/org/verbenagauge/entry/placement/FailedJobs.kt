package org.verbenagauge.entry.placement

/**
 * Recently failed jobs by key, with the healthy endpoints on which they failed. A job that fails on
 * [MIN_ENDPOINTS_TO_BLAME_JOB] healthy endpoints is considered faulty, and not the endpoints.
 */
internal class FailedJobs {
    private val instanceIdsByJob =
        object : LinkedHashMap<Long, MutableSet<String>>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, MutableSet<String>>): Boolean =
                size > MAX_JOBS
        }

    /** Whether the job [jobKey] failed on enough endpoints to be considered faulty. */
    fun isFaulty(jobKey: Long): Boolean = (instanceIdsByJob[jobKey]?.size ?: 0) >= MIN_ENDPOINTS_TO_BLAME_JOB

    /** Adds a failure of [jobKey] on [instanceId]; returns all its endpoints if it just became faulty, else none. */
    fun add(
        jobKey: Long,
        instanceId: String,
    ): Set<String> {
        val instanceIds = instanceIdsByJob.getOrPut(jobKey) { HashSet() }
        val isNew = instanceIds.size < MIN_ENDPOINTS_TO_BLAME_JOB && instanceIds.add(instanceId)
        return if (isNew && instanceIds.size == MIN_ENDPOINTS_TO_BLAME_JOB) instanceIds.toSet() else emptySet()
    }

    /** Removes [jobKey], which succeeded on an endpoint. */
    fun recordSuccess(jobKey: Lazy<Long>) {
        if (instanceIdsByJob.isNotEmpty()) instanceIdsByJob.remove(jobKey.value)
    }

    private companion object {
        const val MIN_ENDPOINTS_TO_BLAME_JOB = 2
        const val MAX_JOBS = 1_000
    }
}
