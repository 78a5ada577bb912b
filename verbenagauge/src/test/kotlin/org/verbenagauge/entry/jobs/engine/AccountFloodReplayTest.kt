package org.verbenagauge.entry.jobs.engine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import org.verbenagauge.entry.load.LoadSettings

private const val SEEDS = 4

// Largest permitted ratio of the other accounts' results in a flood to those of a calm day.
private const val MAX_RATIO_TO_CALM = 1.2

private data class FloodCase(
    val flooding: Int,
    val delaysOthersWithoutShares: Boolean,
)

private data class OthersOutcome(
    val p95Millis: Double,
    val onTime: Double,
)

private fun outcomeOfOthers(
    flooding: Int?,
    except: Int,
    load: LoadSettings,
): OthersOutcome {
    val accounts = (0 until AccountFloodReplay.ACCOUNTS) - except
    val outcomes = (1..SEEDS).map { AccountFloodReplay(it, load, flooding).play() }
    return OthersOutcome(
        p95Millis = outcomes.map { it.waitP95Millis(accounts) }.average(),
        onTime = outcomes.map { outcome -> accounts.mapNotNull { outcome.onTime[it] }.average() }.average(),
    )
}

class AccountFloodReplayTest :
    FunSpec({
        val shares = LoadSettings(accountShares = true)
        val naive = LoadSettings()

        // The results are compared with a calm day without account shares.
        context("an account that sends seven times its usual load delays only its own jobs") {
            withData(
                nameFn = { "account ${it.flooding} by size" },
                // Without shares, only a flood of the largest account is certain to exceed the ratio for the others.
                FloodCase(flooding = 0, delaysOthersWithoutShares = true),
                FloodCase(flooding = 1, delaysOthersWithoutShares = false),
                FloodCase(flooding = 3, delaysOthersWithoutShares = false),
            ) { case ->
                val calm = outcomeOfOthers(null, case.flooding, naive)
                val flood = outcomeOfOthers(case.flooding, case.flooding, shares)
                val naiveFlood = outcomeOfOthers(case.flooding, case.flooding, naive)
                withClue("calm $calm, flood $flood, naive $naiveFlood") {
                    flood.p95Millis shouldBeLessThan MAX_RATIO_TO_CALM * calm.p95Millis
                    flood.onTime shouldBeGreaterThan calm.onTime / MAX_RATIO_TO_CALM
                    if (case.delaysOthersWithoutShares) {
                        naiveFlood.p95Millis shouldBeGreaterThan MAX_RATIO_TO_CALM * calm.p95Millis
                    }
                }
            }
        }

        test("account shares delay no account on a calm day") {
            val calm = outcomeOfOthers(null, 0, naive)
            val shared = outcomeOfOthers(null, 0, shares)
            shared.p95Millis shouldBeLessThan MAX_RATIO_TO_CALM * calm.p95Millis
            shared.onTime shouldBeGreaterThan calm.onTime / MAX_RATIO_TO_CALM
        }
    })
