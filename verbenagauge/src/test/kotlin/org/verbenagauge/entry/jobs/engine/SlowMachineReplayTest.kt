package org.verbenagauge.entry.jobs.engine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import org.verbenagauge.entry.load.LoadSettings

private val naive = LoadSettings(runTimeSpreads = true)
private val speeds = LoadSettings(runTimeSpreads = true, machineSpeeds = true)
private val rescue = speeds.copy(stragglerRescue = true)
private val seeds = 1L..2L

class SlowMachineReplayTest :
    FunSpec({
        test("machine speeds, unlike the last runs, never avoid a healthy machine because of its long tasks") {
            fun avoided(load: LoadSettings) =
                (1L..3L).flatMap { SlowMachineReplay(load, it, slowShare = 0.0).play().wronglyAvoidedNotes }
            avoided(speeds).shouldBeEmpty()
            avoided(naive).shouldNotBeEmpty()
        }

        test("jobs on machines that are slow for some seconds end sooner with machine speeds than with the last runs") {
            fun play(load: LoadSettings) = seeds.map { SlowMachineReplay(load, it, slowShare = 0.1).play() }
            val figures = listOf(naive, speeds).map(::play)
            withClue("$figures") {
                figures[1].sumOf { it.slowdownP95 } shouldBeLessThan figures[0].sumOf { it.slowdownP95 }
            }
        }

        test("copies by run time distribution complete jobs sooner than no copies and than copies by a fixed ratio") {
            fun play(copies: CopyPolicy?) =
                seeds.map {
                    SlowMachineReplay(rescue, it, slowShare = 0.1, mayRunCopies = true, copies = copies).play()
                }
            val none = play(NoCopies())
            val byRatio = play(StragglerCopies())
            val bySpread = play(null)
            withClue("${listOf(none, byRatio, bySpread)}") {
                bySpread.sumOf { it.p95Millis } shouldBeLessThan none.sumOf { it.p95Millis }
                bySpread.sumOf { it.p95Millis } shouldBeLessThan byRatio.sumOf { it.p95Millis }
            }
        }

        test("checkpointing runs move away from slow machines, so that jobs complete sooner") {
            fun play(load: LoadSettings) =
                seeds.map { SlowMachineReplay(load, it, slowShare = 0.1, isCheckpointing = true).play() }
            val naive = play(speeds)
            val rescued = play(rescue)
            withClue("${listOf(naive, rescued)}") {
                // A few percent of jobs have a run on a machine at the moment when it becomes slow.
                rescued.sumOf { it.slowdownP99 } shouldBeLessThan naive.sumOf { it.slowdownP99 }
            }
        }
    })
