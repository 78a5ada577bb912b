package org.verbenagauge.standin.soak

import org.verbenagauge.platform.WireConfig
import org.verbenagauge.platform.WireRoute
import org.verbenagauge.platform.WireServer
import org.verbenagauge.platform.WireService
import org.verbenagauge.platform.wireJson
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * What is soaked, and for how long.
 *
 * @property seed of all that is drawn.
 * @property seconds time of traffic and faults.
 * @property jobsPerSecond jobs that callers hand in.
 * @property plays names of the plays to draw from; empty for all.
 * @property folder where output of the processes goes.
 * @property classPath classes that the entries run.
 */
internal data class SoakSettings(
    val seed: Long,
    val seconds: Int,
    val entryCount: Int = 3,
    val workerCount: Int = 8,
    val jobsPerSecond: Int = 12,
    val plays: List<String> = emptyList(),
    val folder: Path = Path.of("target", "soak"),
    val classPath: String = System.getProperty("java.class.path"),
)

/** What a soak showed; [traces] tell the course of each violation. */
internal class SoakOutcome(
    val violations: List<Violation>,
    val traces: List<List<String>>,
    val summary: String,
)

/** The parts of one soak: a store, workers, entries as processes, callers. */
internal class SoakSite(
    val settings: SoakSettings,
) : AutoCloseable {
    val clock = SoakClock()
    val recorder = Recorder(clock)
    val floor = WorkerFloor(clock, recorder)
    private val random = Random(settings.seed)
    val folder: Path = settings.folder.resolve("seed-${settings.seed}-${ProcessHandle.current().pid()}")
    private val reportedAtMillis = ConcurrentHashMap<String, Long>()
    private val listedIds: MutableSet<String> = ConcurrentHashMap.newKeySet()
    private val timer = Executors.newScheduledThreadPool(2) { task -> Thread(task, "site").also { it.isDaemon = true } }

    @Volatile private var tickedAtMillis = Long.MAX_VALUE

    /** Entry that the store last named as the owner; faults are aimed by it. */
    @Volatile var ownerId = ""
        private set

    /** Whether reports of workers find the store. */
    @Volatile var isStoreUp = true

    /** Whether entries of the list expire while the store is down. */
    @Volatile var expiresWhileDown = true

    val store = SoakStore(::owner)
    val storeLinks = List(settings.entryCount) { Link(random.nextLong(), store::handle) }
    val workers =
        List(settings.workerCount) { SoakWorker("i-$it", floor, settings.entryCount, Random(random.nextLong())) }
    val entries =
        List(settings.entryCount) { EntryProcess("entry-$it", storeLinks[it].address, folder, settings.classPath) }
    val callers = SoakCallers(entries, recorder, clock, settings.seed, settings.jobsPerSecond)

    private fun owner(
        entryId: String,
        epoch: Long,
    ) {
        ownerId = entryId
        val index = entries.indexOfFirst { it.id == entryId }
        if (index >= 0) floor.entryByToken[epoch] = index
        recorder.note(Recorder.RIG, "owner is '$entryId', epoch $epoch")
    }

    /** Starts everything and waits until the entries take jobs. */
    fun start() {
        floor.workers += workers
        store.put("op", "config", wireJson.encodeToString(WireConfig.serializer(), configuration()))
        timer.scheduleWithFixedDelay(::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
        timer.scheduleWithFixedDelay(::report, 0, REPORT_LOOK_MILLIS, TimeUnit.MILLISECONDS)
        entries.forEach { it.start() }
        check(clock.await(START_MILLIS) { entries.all(::isReady) }) { "entries are not ready, see $folder" }
        callers.start()
    }

    // A machine that is short of processor time holds up the rig as well: rules with a time bound do not count then.
    private fun tick() {
        val now = clock.nowMillis()
        if (now - tickedAtMillis > STALL_MILLIS) recorder.stalled(now - tickedAtMillis)
        tickedAtMillis = now
        floor.advance()
    }

    private fun configuration() =
        WireConfig(
            version = 1,
            routes =
                listOf(
                    WireRoute(
                        name = "soak",
                        host = "127.0.0.1",
                        pathPrefix = SoakCallers.PREFIX,
                        service = SoakWorker.SERVICE,
                        maxAttempts = RuleLimits().maxAttempts,
                        slackFactor = 2.0,
                        completionTargetMs = 1_000,
                        anonymous = true,
                    ),
                ),
            services = listOf(WireService(SoakWorker.SERVICE)),
        )

    /** Whether [entry] says that it can take calls. */
    fun isReady(entry: EntryProcess): Boolean =
        try {
            val request =
                HttpRequest
                    .newBuilder(
                        URI("${entry.readinessBase}/v1/readiness"),
                    ).timeout(Duration.ofSeconds(1))
                    .build()
            readiness.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == OK
        } catch (_: java.io.IOException) {
            false
        }

    // Workers report every interval; what was silent for three is not listed any more.
    private fun report() {
        val now = clock.nowMillis()
        workers.filter { it.isUp && it.reachesStore && isStoreUp }.forEach { worker ->
            val isDue = now - (reportedAtMillis[worker.id] ?: -HEARTBEAT_MILLIS) >= HEARTBEAT_MILLIS
            if (isDue || worker.isDraining) {
                reportedAtMillis[worker.id] = now
                store.put(SERVERS, worker.id, wireJson.encodeToString(WireServer.serializer(), worker.listed()))
                if (listedIds.add(worker.id)) recorder.note(worker.id, "${worker.id}: listed")
            }
        }
        if (!isStoreUp && !expiresWhileDown) return
        listedIds.filter { now - (reportedAtMillis[it] ?: now) > SILENT_BEATS * HEARTBEAT_MILLIS }.forEach(::unlist)
    }

    /** Takes [id] out of the list of workers. */
    fun unlist(id: String) {
        store.put(SERVERS, id, null)
        listedIds -= id
        recorder.note(id, "$id: not listed any more")
    }

    /** Whether the list of workers holds [id]. */
    fun isListed(id: String): Boolean = id in listedIds

    /** Takes the store back from an outage; reports of workers come within two seconds. */
    fun storeIsBack() {
        val now = clock.nowMillis()
        workers.forEach { reportedAtMillis[it.id] = now - HEARTBEAT_MILLIS + random.nextLong(BACK_MILLIS) }
        isStoreUp = true
    }

    override fun close() {
        callers.stop()
        timer.shutdownNow()
        entries.forEach { it.kill() }
        (storeLinks + workers.map { it.link }).forEach { it.close() }
    }

    private companion object {
        const val SERVERS = "servers"
        const val OK = 200
        const val TICK_MILLIS = 5L
        const val STALL_MILLIS = 150L
        const val REPORT_LOOK_MILLIS = 20L
        const val START_MILLIS = 30_000L

        // HeartbeatIntervalMs, silent intervals until an entry is removed, and time until entries are back after an
        // outage (DEPLOY, Settings; PROTOCOL, Service discovery).
        const val HEARTBEAT_MILLIS = 1_500L
        const val SILENT_BEATS = 3
        const val BACK_MILLIS = 2_000L
        val readiness: HttpClient = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build()
    }
}

private const val ASK_AGAIN_MILLIS = 300L

/** Runs one soak. */
internal fun soak(settings: SoakSettings): SoakOutcome =
    SoakSite(settings).use { site ->
        val endHook = Thread { site.entries.forEach { it.kill() } }
        Runtime.getRuntime().addShutdownHook(endHook)
        site.start()
        FaultSchedule(site).run()
        site.callers.stopSending()
        val recorder = site.recorder
        val random = Random(settings.seed)
        // Jobs that callers have lost sight of are asked for as well.
        site.clock.await(RuleLimits().finishMillis) {
            recorder
                .openJobs()
                .onEach {
                    site.callers.askOnce(it, random)
                }.isEmpty()
                .also { if (!it) Thread.sleep(ASK_AGAIN_MILLIS) }
        }
        recorder.finish()
        Files.write(site.folder.resolve("timeline.txt"), recorder.timeline())
        Runtime.getRuntime().removeShutdownHook(endHook)
        val summary =
            "seed ${settings.seed}: ${recorder.acceptedCount} jobs accepted, ${recorder.startCount} runs began, " +
                "${recorder.violations.size} violations, the rig was held up for ${recorder.longestStallMillis} ms at most"
        SoakOutcome(recorder.violations, recorder.violations.map(recorder::trace), summary)
    }
