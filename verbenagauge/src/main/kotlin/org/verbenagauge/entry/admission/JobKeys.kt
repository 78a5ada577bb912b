package org.verbenagauge.entry.admission

import org.verbenagauge.entry.Job

private const val MILLIS_PER_MINUTE = 60_000L
private const val MINUTES_PER_DAY = 1_440L
private const val HASH_MULTIPLIER = 31L

/** Returns a hash that identifies [job] across retries: of its idempotency key if it has one, else of its body. */
internal fun jobKey(job: Job): Long {
    val content = job.idempotencyKey?.hashCode() ?: job.body.contentHashCode()
    return job.queueId.hashCode() * HASH_MULTIPLIER * HASH_MULTIPLIER + content * HASH_MULTIPLIER + job.body.size
}

/** Returns the time from [wallMillis] to the next [minuteOfDay] (UTC) in milliseconds. */
internal fun millisUntil(
    minuteOfDay: Int,
    wallMillis: Long,
): Long {
    val dayMillis = MINUTES_PER_DAY * MILLIS_PER_MINUTE
    return (minuteOfDay * MILLIS_PER_MINUTE - wallMillis).mod(dayMillis)
}
