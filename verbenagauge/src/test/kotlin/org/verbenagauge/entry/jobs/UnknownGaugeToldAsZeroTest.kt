package org.verbenagauge.entry.jobs

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.GaugeSnapshot
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.ports.WorkerGateway
import org.verbenagauge.entry.jobs.ports.WorkerList
import org.verbenagauge.entry.jobs.ports.WorkerListings
import org.verbenagauge.entry.logging.EventLog

// A store that never answers.
private class SilentStore : RowStore by MemoryRowStore() {
    override suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch> = awaitCancellation()
}

private class NoWorkers :
    WorkerGateway,
    WorkerList {
    override fun listings(address: WorkerAddress): WorkerListings = error("no workers")

    override suspend fun start(
        address: WorkerAddress,
        order: StartOrder,
    ): OrderOutcome = error("no workers")

    override suspend fun stop(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        fencingToken: Long,
    ): OrderOutcome = error("no workers")

    override suspend fun pace(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        percentage: Int,
        fencingToken: Long,
    ): OrderOutcome = error("no workers")

    override fun disconnect(address: WorkerAddress) = Unit

    override fun closeIdleConnections() = Unit

    override suspend fun follow(
        onAll: (List<ListedWorker>) -> Unit,
        onChange: (workerId: String, worker: ListedWorker?) -> Unit,
    ) = awaitCancellation()
}

private data class GaugeCase(
    val name: String,
    val beforeRead: Double,
    val afterRead: Double,
)

// Guards against the fault that a gauge said 0 for what the entry had not read.
class UnknownGaugeToldAsZeroTest :
    FunSpec({
        context("a gauge before and after the configuration and the operator's rows were read") {
            withData(
                nameFn = { it.name },
                GaugeCase("verbenagauge_owner", 0.0, 0.0),
                GaugeCase("verbenagauge_configuration_version", Double.NaN, 1.0),
                GaugeCase("verbenagauge_zones_evacuated", Double.NaN, 0.0),
                GaugeCase("verbenagauge_owner_row_bytes", Double.NaN, Double.NaN),
                GaugeCase("verbenagauge_expected_wait_seconds", Double.NaN, Double.NaN),
                GaugeCase("verbenagauge_pressure_age_seconds", Double.NaN, Double.NaN),
            ) { case ->
                runTest {
                    val registry = PrometheusRegistry()
                    val none = NoWorkers()
                    val ports = JobPorts(SilentStore(), none, none)
                    val runtime = jobRuntime("a", ports, systemClock(), EventLog("a"), JobMetrics(registry))
                    runtime.start(backgroundScope)

                    fun read(): Double {
                        val snapshot = registry.scrape().first { it.metadata.name == case.name } as GaugeSnapshot
                        return snapshot.dataPoints.single().value
                    }
                    // As text, since no number equals NaN.
                    "${read()}" shouldBe "${case.beforeRead}"
                    runtime.evacuate(emptySet())
                    runtime.configure(configuration())
                    "${read()}" shouldBe "${case.afterRead}"
                }
            }
        }
    })
