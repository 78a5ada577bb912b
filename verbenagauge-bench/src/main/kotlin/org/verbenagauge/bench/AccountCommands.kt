package org.verbenagauge.bench

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.account.AccountWriter
import org.verbenagauge.entry.account.JobObserver
import org.verbenagauge.entry.account.JobRecord
import org.verbenagauge.entry.account.SegmentSource
import org.verbenagauge.entry.account.accountWriter
import org.verbenagauge.entry.account.noPeers
import org.verbenagauge.entry.account.verifyAccount
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.state.store.ObjectStore
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.WriteOutcome
import java.lang.management.ManagementFactory
import java.util.UUID
import java.util.concurrent.ConcurrentSkipListMap
import kotlin.random.Random

private const val BURST = 2_000
private const val PAUSE_MILLIS = 50L
private const val CLOSE_MILLIS = 30_000L
private const val SEED = 6_000
private const val NANOS_PER_MILLI = 1_000_000.0

/** Processor time and bytes that the account costs a request, against an observer that does nothing. */
@OptIn(ExperimentalCli::class)
internal class AccountCostCommand : Subcommand("account-cost", "Cost of the account per request, on against off.") {
    private val records by option(ArgType.Int, "records", description = "Requests of one run").default(200_000)

    override fun execute() =
        runBlocking {
            repeat(2) { measure(records / 4, print = false) }
            measure(records, print = true)
        }

    private suspend fun measure(
        count: Int,
        print: Boolean,
    ) {
        val off = cost(count) { }
        val store = MemoryObjects()
        val writer = writer(store)
        val on = cost(count, writer)
        val status = writer.status()
        if (!print) return
        val bytes = store.objects.values.sumOf { it.size.toLong() }
        println("seed $SEED, $count requests in bursts of $BURST")
        println("calling coroutine: off %.2f us, on %.2f us a request".format(off.callMicros, on.callMicros))
        println("whole process, processor time: off %.2f us, on %.2f us a request".format(off.cpuMicros, on.cpuMicros))
        println("object store: %.1f bytes a request, ${store.objects.size} segments".format(bytes.toDouble() / count))
        println("only counted: ${status.counted}")
    }

    private suspend fun cost(
        count: Int,
        observer: JobObserver,
    ): Cost {
        val jobs = (observer as? AccountWriter)?.let { writer -> background.launch { writer.run() } }
        val made = jobRecords(count)
        val cpuBefore = processCpuNanos()
        var callNanos = 0L
        made.chunked(BURST).forEach { burst ->
            val before = System.nanoTime()
            burst.forEach { observer.answered(it) }
            callNanos += System.nanoTime() - before
            delay(PAUSE_MILLIS)
        }
        jobs?.cancelAndJoin()
        (observer as? AccountWriter)?.close(systemClock().monotonicMillis() + CLOSE_MILLIS)
        val cpuNanos = processCpuNanos() - cpuBefore
        return Cost(callNanos / 1_000.0 / count, cpuNanos / 1_000.0 / count)
    }

    private class Cost(
        val callMicros: Double,
        val cpuMicros: Double,
    )
}

/** Time to verify an account. */
@OptIn(ExperimentalCli::class)
internal class AccountVerifyCommand : Subcommand("account-verify", "Time to verify records of the account.") {
    private val records by option(ArgType.Int, "records", description = "Requests").default(1_000_000)

    override fun execute() =
        runBlocking {
            val store = MemoryObjects()
            val writer = writer(store)
            val running = background.launch { writer.run() }
            jobRecords(records).chunked(BURST).forEach { burst ->
                burst.forEach { writer.answered(it) }
                delay(PAUSE_MILLIS)
            }
            running.cancelAndJoin()
            writer.close(systemClock().monotonicMillis() + CLOSE_MILLIS)
            repeat(2) {
                val before = System.nanoTime()
                val report = verifyAccount(store)
                val millis = (System.nanoTime() - before) / NANOS_PER_MILLI
                val chain = report.chains.single()
                println(
                    "seed $SEED, run ${it + 1}: ${chain.records} records (${chain.counted} only counted), " +
                        "${store.objects.size} segments, %.0f ms, ${report.findings.size} findings".format(millis),
                )
            }
        }
}

private val background = CoroutineScope(Dispatchers.Default)

private fun writer(store: ObjectStore) =
    accountWriter(store, noPeers("entry-0"), "zone-0", { null }, systemClock(), EventLog("entry-0"))

private fun processCpuNanos(): Long =
    (ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean).processCpuTime

private fun jobRecords(count: Int): List<JobRecord> {
    val random = Random(SEED)
    return List(count) { index ->
        val isServed = random.nextInt(10) > 0
        JobRecord(
            requestId = UUID(random.nextLong(), random.nextLong()).toString(),
            teamId = "team-${random.nextInt(20)}",
            queueId = "queue-${random.nextInt(40)}",
            idempotencyKey = if (random.nextInt(4) == 0) "job-$index" else null,
            instanceId = if (isServed) "worker-${random.nextInt(64)}" else null,
            reason = if (isServed) Reason.SERVED else Reason.QUEUE_FULL,
            arrivedAtWallMillis = 1_700_000_000_000L + index,
            waitedMillis = random.nextLong(200),
            ranMillis = if (isServed) random.nextLong(1_000) else 0,
        )
    }
}

private class MemoryObjects :
    ObjectStore,
    SegmentSource {
    val objects = ConcurrentSkipListMap<String, ByteArray>()

    override suspend fun putIfAbsent(
        name: String,
        content: ByteArray,
    ): WriteOutcome =
        if (objects.putIfAbsent(name, content) == null) WriteOutcome.Applied else WriteOutcome.Conflict(emptyList())

    override suspend fun get(name: String): ReadOutcome<ByteArray?> = ReadOutcome.Found(objects[name])

    override suspend fun list(
        prefix: String,
        afterName: String,
        limit: Int,
    ): ReadOutcome<List<String>> =
        ReadOutcome.Found(
            objects.keys
                .filter { it > afterName && it.startsWith(prefix) }
                .take(limit),
        )

    override suspend fun names(): List<String> = objects.keys.toList()

    override suspend fun read(name: String): ByteArray? = objects[name]
}
