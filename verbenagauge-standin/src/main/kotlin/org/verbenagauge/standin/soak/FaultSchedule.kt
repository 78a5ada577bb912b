package org.verbenagauge.standin.soak

import kotlinx.serialization.json.JsonPrimitive
import org.verbenagauge.platform.WireJob
import org.verbenagauge.platform.WireStep
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Plays drawn by the seed, one after the other and overlapping, until the time is over. */
internal class FaultSchedule(
    private val site: SoakSite,
) {
    private val settings = site.settings
    private val random = Random(settings.seed * SEED_FACTOR)
    private val recorder = site.recorder
    private val timer =
        Executors.newScheduledThreadPool(THREADS) { task ->
            Thread(task, "faults").also {
                it.isDaemon =
                    true
            }
        }
    private var lifeCounter = settings.workerCount

    private val plays: Map<String, () -> Unit> =
        mapOf(
            "unlisted" to ::unlistedWorkers,
            "slow-takeover" to ::slowTakeover,
            "outage" to ::outage,
            "woken-owner" to ::wokenOwner,
            "many-ends" to ::manyEnds,
            "late-grants" to ::lateGrants,
            "cut-takeover" to ::cutTakeover,
            "restarts" to ::restarts,
            "lost-answers" to ::lostAnswers,
            "mixed" to ::mixed,
            "calm" to ::calm,
        )

    /** Runs until the time of the soak is over and all faults are taken back. */
    fun run() {
        val drawn = plays.filterKeys { settings.plays.isEmpty() || it in settings.plays }.toList()
        val untilMillis = site.clock.nowMillis() + TimeUnit.SECONDS.toMillis(settings.seconds.toLong())
        pass(FIRST_MILLIS)
        while (site.clock.nowMillis() < untilMillis) {
            val (name, play) = drawn[random.nextInt(drawn.size)]
            recorder.note(Recorder.RIG, "play $name")
            play()
            pass(millis(300, 2_500))
        }
        timer.shutdown()
        timer.awaitTermination(LONGEST_MILLIS, TimeUnit.MILLISECONDS)
        site.entries.forEach { it.start() }
    }

    private fun calm() = pass(CALM_MILLIS)

    private fun pass(millis: Long) {
        Thread.sleep(millis)
    }

    private fun millis(
        from: Int,
        until: Int,
    ): Long = random.nextLong(from.toLong(), until.toLong())

    private fun during(
        text: String,
        forMillis: Long,
        begin: () -> Unit,
        end: () -> Unit,
    ) {
        recorder.faultBegins("$text for $forMillis ms")
        begin()
        timer.schedule({
            end()
            recorder.faultEnds("$text is over")
        }, forMillis, TimeUnit.MILLISECONDS)
    }

    private fun owner(): EntryProcess = site.entries.firstOrNull { it.id == site.ownerId } ?: anyEntry()

    private fun anyEntry() = site.entries[random.nextInt(site.entries.size)]

    private fun indexOf(entry: EntryProcess) = site.entries.indexOf(entry)

    private fun someWorkers(most: Int): List<SoakWorker> =
        site.workers.filter { it.isUp }.shuffled(random).sortedByDescending { it.runCount > 0 }.take(
            1 + random.nextInt(most),
        )

    private fun pause(
        entry: EntryProcess,
        forMillis: Long,
    ) = during("pause of ${entry.id}", forMillis, entry::pause, entry::resume)

    private fun kill(entry: EntryProcess) = during("kill of ${entry.id}", millis(50, 1_500), entry::kill, entry::start)

    private fun terminate(entry: EntryProcess) =
        during("SIGTERM of ${entry.id}", 0, {}, {
            entry.terminate()
            entry.start()
        })

    private fun loseOwner() {
        val entry = owner()
        when (random.nextInt(LOSSES)) {
            0 -> kill(entry)
            1 -> terminate(entry)
            2 -> cutFromStore(entry, millis(1_500, 4_500))
            3 -> pause(entry, millis(1_500, 8_000))
            else -> pause(entry, millis(850, 1_700))
        }
    }

    private fun cutFromStore(
        entry: EntryProcess,
        forMillis: Long,
    ) {
        val link = site.storeLinks[indexOf(entry)]
        val refusal = refusals[random.nextInt(refusals.size)]
        during("store turns ${entry.id} away ($refusal)", forMillis, { refuse(link, refusal) }, {
            link.faults.refusal =
                null
        })
    }

    private fun refuse(
        link: Link,
        refusal: Refusal?,
    ) {
        link.faults.refusal = refusal
        if (refusal == Refusal.RESET) link.reset()
        if (refusal == Refusal.SILENT) link.silence()
    }

    private fun unlist(
        worker: SoakWorker,
        forMillis: Long,
    ) = during("${worker.id} is cut from the store", forMillis, { worker.reachesStore = false }, {
        worker.reachesStore =
            true
    })

    private fun cutPair(
        entry: EntryProcess,
        worker: SoakWorker,
        forMillis: Long,
    ) {
        val faults = worker.paths[indexOf(entry)]
        val way = random.nextInt(WAYS)
        during(
            "${entry.id} is cut from ${worker.id} (way $way)",
            forMillis,
            {
                if (way != 1) faults.isCutIn = true
                if (way != 0) faults.isCutOut = true
            },
            {
                faults.isCutIn = false
                faults.isCutOut = false
            },
        )
    }

    // H1: workers that run on are missing from the list when the owner changes.
    private fun unlistedWorkers() {
        val chosen = someWorkers(3)
        val forMillis = millis(6_500, 13_000)
        chosen.forEach { unlist(it, forMillis) }
        site.clock.await(EXPIRY_MILLIS) { chosen.none { site.isListed(it.id) } }
        pass(millis(0, 1_500))
        loseOwner()
        pass(millis(3_000, 6_000))
    }

    // H2: the owner is paused while jobs come in, and the store is slow for the next one, or for all.
    private fun slowTakeover() {
        val entry = owner()
        val isSlow = if (random.nextBoolean()) site.storeLinks else site.storeLinks - site.storeLinks[indexOf(entry)]
        slowStore(isSlow, millis(40, 450), millis(2_500, 5_000))
        pass(millis(200, 800))
        pause(entry, millis(900, 1_600))
        if (random.nextInt(3) == 0) {
            pass(millis(300, 800))
            loseOwner()
        }
        pass(millis(2_500, 4_000))
    }

    private fun slowStore(
        links: List<Link>,
        delayMillis: Long,
        forMillis: Long,
    ) = during(
        "store is slow by up to $delayMillis ms for ${links.size} entries",
        forMillis,
        { slow(links, delayMillis) },
        { slow(links, 0) },
    )

    private fun slow(
        links: List<Link>,
        delayMillis: Long,
    ) = links.forEach {
        it.faults.requestDelayMillis = delayMillis
        it.faults.answerDelayMillis = delayMillis
    }

    // H1: the list loses its entries while the store is down, and gets them back one by one.
    private fun outage() {
        val refusal = refusals[random.nextInt(refusals.size)]
        site.expiresWhileDown = random.nextInt(3) > 0
        val forMillis = if (random.nextBoolean()) millis(1_000, 8_500) else millis(4_500, 6_500)
        during(
            "store is down ($refusal)",
            forMillis,
            {
                site.isStoreUp = false
                site.storeLinks.forEach { refuse(it, refusal) }
            },
            {
                site.storeLinks.forEach { it.faults.refusal = null }
                site.storeIsBack()
            },
        )
        if (random.nextInt(3) > 0) {
            pass(forMillis / 2)
            if (random.nextBoolean()) kill(owner()) else pause(owner(), forMillis / 2 + millis(100, 2_000))
        }
        pass(forMillis + millis(1_000, 4_000))
    }

    // H4: renewals and orders on their way are carried out late; the owner hears nothing of a worker.
    private fun lateGrants() {
        val entry = owner()
        someWorkers(3).forEach { worker ->
            val faults = worker.paths[indexOf(entry)]
            val delayMillis = millis(200, 3_000)
            during(
                "calls of ${entry.id} to ${worker.id} take up to $delayMillis ms",
                millis(3_000, 8_000),
                {
                    faults.requestDelayMillis = delayMillis
                    faults.answerDelayMillis = delayMillis
                    faults.lateShare = LATE_SHARE
                },
                { faults.clear() },
            )
        }
        if (random.nextBoolean()) cutPair(entry, someWorkers(1).first(), millis(4_000, 9_000))
        pass(millis(1_500, 4_000))
        if (random.nextInt(3) > 0) loseOwner()
        pass(millis(3_000, 6_000))
    }

    // H2: the next owner does not reach a worker that the one before still orders on.
    private fun cutTakeover() {
        val before = owner()
        val chosen = someWorkers(3)
        val forMillis = millis(3_000, 9_000)
        site.entries.filter { it !== before }.forEach { entry -> chosen.forEach { cutPair(entry, it, forMillis) } }
        pass(millis(100, 1_000))
        if (random.nextInt(3) == 0) loseOwner() else pause(before, millis(1_000, 1_600))
        pass(millis(3_000, 6_000))
    }

    // H2: the earlier owner wakes just after another has taken over, hears of new jobs before it hears of its loss, and
    // the next one hears of workers late.
    private fun wokenOwner() {
        val before = owner()
        val link = site.storeLinks[indexOf(before)]
        recorder.faultBegins("pause of ${before.id} until another takes over")
        before.pause()
        site.clock.await(OWNER_LEASE_MILLIS) { site.ownerId != before.id }
        slowStore(site.storeLinks - link, millis(20, 250), millis(500, 1_500))
        site.callers.burst(BURST_JOBS, BURST_MILLIS)
        during("writes of ${before.id} hang", millis(800, 2_000), { link.faults.holdsWrites = true }, {
            link.faults.holdsWrites =
                false
        })
        pass(millis(0, 200))
        before.resume()
        recorder.faultEnds("pause of ${before.id} is over")
        pass(millis(2_500, 4_000))
    }

    // H3: more ends on one worker than one answer holds, when the owner changes.
    private fun manyEnds() {
        val worker = site.workers.filter { it.isUp }.random(random)
        val label = JsonPrimitive(worker.label)
        val step = WireStep(MANY_TASKS, cpu = 4, memMb = 1, estimatedMs = MANY_MILLIS, requirements = label)
        site.callers.handIn(WireJob("sleep $MANY_MILLIS", listOf(step)))
        pass(MANY_MILLIS - millis(0, 600))
        val before = owner()
        cutPair(before, worker, millis(6_500, 9_000))
        pass(millis(1_000, 2_000))
        slowAnswers(worker, worker.paths - worker.paths[indexOf(before)], millis(100, 700), millis(4_000, 6_000))
        if (random.nextBoolean()) kill(before) else pause(before, millis(2_000, 4_000))
        pass(millis(4_000, 6_000))
    }

    private fun slowAnswers(
        worker: SoakWorker,
        paths: List<LinkFaults>,
        delayMillis: Long,
        forMillis: Long,
    ) = during(
        "answers of ${worker.id} take up to $delayMillis ms",
        forMillis,
        { paths.forEach { it.answerDelayMillis = delayMillis } },
        { paths.forEach { it.answerDelayMillis = 0 } },
    )

    private fun restarts() {
        someWorkers(2).forEach { worker ->
            if (random.nextBoolean()) {
                crash(worker, if (random.nextBoolean()) worker.id else nextId())
            } else {
                drain(worker)
            }
        }
        if (random.nextBoolean()) loseOwner()
        pass(millis(2_000, 5_000))
    }

    private fun nextId() = "i-${lifeCounter++}"

    private fun crash(
        worker: SoakWorker,
        nextId: String,
    ) = during("crash of ${worker.id}, then $nextId", millis(300, 6_000), {
        worker.end("crashes")
    }, { worker.begin(nextId) })

    private fun drain(worker: SoakWorker) {
        val before = worker.id
        val nextId = nextId()
        during("$before drains, then $nextId", millis(2_500, 6_000), { worker.isDraining = true }, {
            worker.end("leaves")
            site.unlist(before)
            worker.begin(nextId)
        })
    }

    private fun lostAnswers() {
        val all = site.storeLinks.map { it.faults } + site.workers.filter { it.isUp }.flatMap { it.paths }
        val lost = random.nextDouble() * LOST_SHARE
        val late = random.nextDouble() * LATE_SHARE
        during(
            "answers are lost (share %.2f) and orders late (%.2f)".format(lost, late),
            millis(3_000, 8_000),
            {
                all.forEach {
                    it.lostShare = lost
                    it.lateShare = late
                }
            },
            {
                all.forEach {
                    it.lostShare = 0.0
                    it.lateShare = 0.0
                }
            },
        )
        if (random.nextBoolean()) site.store.dropHistory()
        pass(millis(500, 3_000))
        if (random.nextBoolean()) loseOwner()
        pass(millis(2_000, 4_000))
    }

    private fun mixed() {
        repeat(2 + random.nextInt(4)) {
            when (random.nextInt(MIXED)) {
                0 -> someWorkers(2).forEach { unlist(it, millis(6_000, 12_000)) }
                1 -> someWorkers(2).forEach { cutPair(anyEntry(), it, millis(1_000, 8_000)) }
                2 -> slowStore(site.storeLinks, millis(30, 300), millis(1_000, 4_000))
                3 -> someWorkers(2).forEach { crash(it, if (random.nextBoolean()) it.id else nextId()) }
                4 -> pause(anyEntry(), millis(300, 8_000))
                5 -> cutFromStore(anyEntry(), millis(500, 5_000))
                6 ->
                    (site.storeLinks + site.workers.map { it.link }).filter { random.nextBoolean() }.forEach {
                        it
                            .silence()
                    }
                7 -> someWorkers(2).forEach { unhealthy(it) }
                8 -> site.store.dropHistory()
                else -> loseOwner()
            }
            pass(millis(100, 2_500))
        }
        pass(millis(1_000, 4_000))
    }

    private fun unhealthy(worker: SoakWorker) =
        during("${worker.id} refuses starts", millis(500, 4_000), { worker.isUnhealthy = true }, {
            worker.isUnhealthy =
                false
        })

    private companion object {
        const val SEED_FACTOR = 31L
        const val THREADS = 8
        const val CALM_MILLIS = 1_000L
        const val FIRST_MILLIS = 3_000L
        const val EXPIRY_MILLIS = 7_000L

        // Longer than any fault lasts.
        const val LONGEST_MILLIS = 30_000L
        const val OWNER_LEASE_MILLIS = 1_450L

        // Ends in one answer are 500 (PROTOCOL, Running tasks).
        const val MANY_TASKS = 800
        const val MANY_MILLIS = 4_000L
        const val BURST_JOBS = 20
        const val BURST_MILLIS = 500L
        const val LOSSES = 7
        const val WAYS = 3
        const val MIXED = 11
        const val LATE_SHARE = 0.15
        const val LOST_SHARE = 0.2
        val refusals = listOf(Refusal.UNAVAILABLE, Refusal.BUSY, Refusal.SILENT, Refusal.RESET)
    }
}
