package org.verbenagauge.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.control.Edit
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.log.ChangeLog
import org.verbenagauge.entry.state.log.ProposeOutcome
import org.verbenagauge.entry.state.log.changeLog
import org.verbenagauge.entry.state.store.httpPlatform

private const val TIMEOUT_MILLIS = 2_000L
private const val AUTHOR = "demo"

@OptIn(ExperimentalCli::class)
internal class SeedCommand : Subcommand("seed", "Store the configuration of the demo.") {
    private val platform by option(ArgType.String, "platform", description = "Address of the platform").required()
    private val endpoints by option(ArgType.Int, "endpoints", description = "Number of endpoints").default(8)

    override fun execute() {
        runBlocking {
            val log = changeLog(httpPlatform(platform, TIMEOUT_MILLIS).table, systemClock())
            seed(log, endpoints)
        }
    }
}

/** Stores the configuration of the demo and puts [endpoints] instances into its pool. */
public suspend fun seed(
    log: ChangeLog,
    endpoints: Int,
) {
    log.refresh()
    store(log, ConfigurationEdit.Replace(demoConfiguration()), "seed-configuration")
    repeat(endpoints) { store(log, FleetEdit.AssignInstance("worker-$it", "inspection"), "seed-worker-$it") }
}

private suspend fun store(
    log: ChangeLog,
    edit: Edit,
    operationId: String,
) {
    val outcome = log.propose(log.state.value.version, edit, AUTHOR, operationId)
    check(outcome is ProposeOutcome.Stored) { "seeding failed at '$operationId': $outcome" }
}
