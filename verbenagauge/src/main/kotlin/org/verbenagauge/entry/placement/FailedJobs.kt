package org.verbenagauge.entry.placement

/**
 * Jobs that failed lately, by key, and on which endpoints in good standing they did. A job that fails on
 * [MIN_ENDPOINTS_TO_BLAME_JOB] of them is to blame itself, and not the endpoints.
 */
internal class FailedJobs {
    private val instanceIdsByJob =
        object : LinkedHashMap<Long, MutableSet<String>>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, MutableSet<String>>): Boolean =
                size > MAX_JOBS
        }

    /** Whether the job [jobKey] failed on so many endpoints that it is to blame. */
    fun isFaulty(jobKey: Long): Boolean = (instanceIdsByJob[jobKey]?.size ?: 0) >= MIN_ENDPOINTS_TO_BLAME_JOB

    /** Adds that [jobKey] failed on [instanceId]; returns the endpoints it failed on when it just became bad. */
    fun add(
        jobKey: Long,
        instanceId: String,
    ): Set<String> {
        val instanceIds = instanceIdsByJob.getOrPut(jobKey) { HashSet() }
        val isNew = instanceIds.size < MIN_ENDPOINTS_TO_BLAME_JOB && instanceIds.add(instanceId)
        return if (isNew && instanceIds.size == MIN_ENDPOINTS_TO_BLAME_JOB) instanceIds.toSet() else emptySet()
    }

    /** Forgets [jobKey], which succeeded somewhere. */
    fun recordSuccess(jobKey: Lazy<Long>) {
        if (instanceIdsByJob.isNotEmpty()) instanceIdsByJob.remove(jobKey.value)
    }

    private companion object {
        const val MIN_ENDPOINTS_TO_BLAME_JOB = 2
        const val MAX_JOBS = 1_000
    }
}
