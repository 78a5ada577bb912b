package org.verbenagauge.entry.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Load on one queue. The serialized names are short, since every entry reads them with each renewal of the owner's
 * lease.
 *
 * @property withinWaitMillis expected wait of a job that arrives now and lies within the share of its account.
 * @property surplusWaitMillis expected wait of a job that arrives now and is surplus of its account.
 * @property withinLapses whether accepted jobs within their share have recently expired for lack of capacity.
 * @property surplusLapses whether accepted surplus jobs have recently expired for lack of capacity.
 * @property taskMillis expected duration of a task of the queue.
 * @property rateCpuMillis throughput of the pool, in thousandths of a core.
 */
@Serializable
public data class QueuePressure(
    @SerialName("w") val withinWaitMillis: Long = 0,
    @SerialName("s") val surplusWaitMillis: Long = 0,
    @SerialName("wl") val withinLapses: Boolean = false,
    @SerialName("sl") val surplusLapses: Boolean = false,
    @SerialName("t") val taskMillis: Long = 0,
    @SerialName("r") val rateCpuMillis: Long = 0,
)

/**
 * Load figures that the owner publishes to the entries. Queues without a wait and accounts within their share are left
 * out and take no space.
 *
 * @property byQueue queues with an expected wait.
 * @property surplusTeams accounts that exceed their share, with the part of their jobs that lies within it, in
 *   thousandths.
 * @property ageMillis age of these figures when they were written, on the owner's monotonic clock.
 */
@Serializable
public data class LoadPressure(
    @SerialName("q") val byQueue: Map<String, QueuePressure> = emptyMap(),
    @SerialName("x") val surplusTeams: Map<String, Int> = emptyMap(),
    @SerialName("a") val ageMillis: Long = 0,
)

/**
 * [LoadPressure] as an entry sees it.
 *
 * @property pressure figures that the owner published.
 * @property ageMillis age of the figures: their age when written plus the time since this entry first read the row.
 */
public data class PressureView(
    val pressure: LoadPressure,
    val ageMillis: Long,
)
