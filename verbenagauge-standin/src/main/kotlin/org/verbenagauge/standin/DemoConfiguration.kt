package org.verbenagauge.standin

import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.state.document.AvailabilityBudget
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.QueueClass
import org.verbenagauge.entry.state.document.Team
import org.verbenagauge.entry.state.document.TeamKey

/** Key of the demo team [teamId]. */
public fun demoKey(teamId: String): String = "demo-key-of-$teamId"

/** Configuration of the demo: one pool, three queues, two teams with shares of 3 to 1. */
public fun demoConfiguration(): Configuration =
    Configuration(
        pools = listOf(Pool("inspection", service = "inspection", budget = AvailabilityBudget(maxAway = 2))),
        teams = listOf(demoTeam("growers", shareWeight = 3), demoTeam("buyers", shareWeight = 1)),
        queues =
            listOf(
                Queue("tallies", "inspection", QueueClass.URGENT, idempotent = true),
                Queue("inspections", "inspection", QueueClass.ORDINARY),
                Queue("ledger", "inspection", QueueClass.DEFERRABLE, idempotent = true, teamIds = listOf("growers")),
            ),
    )

private fun demoTeam(
    id: String,
    shareWeight: Int,
) = Team(id, listOf(TeamKey("first", sha256Hex(demoKey(id)))), shareWeight, maxRunning = 48)
