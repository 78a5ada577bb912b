package org.verbenagauge.entry.operator.console

import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.document.AvailabilityBudget
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.OperatorAccount
import org.verbenagauge.entry.state.document.OperatorRight
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.QueueClass
import org.verbenagauge.entry.state.document.Team
import org.verbenagauge.entry.state.document.TeamKey
import org.verbenagauge.entry.state.document.Wave
import org.verbenagauge.entry.state.document.WaveCommand

private val yesOrNo = listOf(FormValues.NO, FormValues.YES)

private fun lower(value: Enum<*>) = value.name.lowercase()

private fun yesOrNo(flag: Boolean) = if (flag) FormValues.YES else FormValues.NO

/** All forms of the console. */
internal val consoleForms: List<ConsoleForm> =
    listOf(
        ConsoleForm(
            name = "team",
            title = "Team",
            fields =
                listOf(
                    FormField("id", "Name"),
                    FormField("shareWeight", "Share (weight when the fleet is full)"),
                    FormField("maxRunning", "Upper limit (running at once over the fleet)"),
                ),
            valuesOf = ::teamValues,
            editOf = { values, _ ->
                val team =
                    Team(
                        values.text("id"),
                        shareWeight = values.number("shareWeight", 1),
                        maxRunning = values.number("maxRunning"),
                    )
                ConfigurationEdit.PutTeam(team)
            },
        ),
        ConsoleForm(
            name = "pool",
            title = "Pool",
            fields =
                listOf(
                    FormField("id", "Name"),
                    FormField("service", "Service"),
                    FormField("maxAway", "Instances that may be away"),
                    FormField("maxAwayPercent", "Per cent that may be away (replaces the number; may stay empty)"),
                    FormField("maxAwayPerRack", "Away per rack (may stay empty)"),
                    FormField("maxAwayPerZone", "Away per availability zone (may stay empty)"),
                    FormField("slotsPerWorker", "Slots per worker"),
                    FormField("connectionsPerWorker", "Connections per worker"),
                    FormField("spare", "Spare pool", yesOrNo),
                ),
            valuesOf = ::poolValues,
            editOf = { values, _ -> ConfigurationEdit.PutPool(pool(values)) },
        ),
        ConsoleForm(
            name = "queue",
            title = "Queue",
            fields =
                listOf(
                    FormField("id", "Name"),
                    FormField("poolId", "Pool"),
                    FormField("queueClass", "Class", QueueClass.entries.map(::lower)),
                    FormField("idempotent", "Idempotent (a request may run more than once)", yesOrNo),
                    FormField("openToAll", "Open to all (no key needed)", yesOrNo),
                    FormField("teamIds", "Teams, with commas (empty for all)"),
                    FormField("maxQueued", "Most requests that wait in one entry instance"),
                    FormField("maxWaitMillis", "Longest wait, milliseconds"),
                    FormField("maxRunMillis", "Longest run, milliseconds"),
                    FormField("finishByMinuteOfDay", "Finish by, minute of the day UTC (may stay empty)"),
                ),
            valuesOf = ::queueValues,
            editOf = { values, _ -> ConfigurationEdit.PutQueue(queue(values)) },
        ),
        ConsoleForm(
            name = "key",
            title = "Grant a key",
            fields = listOf(FormField("teamId", "Team"), FormField("id", "Name of the key")),
            grantsKey = true,
            valuesOf = { _, id -> mapOf("teamId" to id) },
            editOf = { values, hash ->
                ConfigurationEdit.GrantKey(values.text("teamId"), TeamKey(values.text("id"), hash))
            },
        ),
        ConsoleForm(
            name = "withdraw-key",
            title = "Withdraw a key",
            fields = listOf(FormField("teamId", "Team"), FormField("id", "Name of the key")),
            valuesOf = { _, id -> mapOf("teamId" to id.substringBefore('/'), "id" to id.substringAfter('/', "")) },
            editOf = { values, _ -> ConfigurationEdit.WithdrawKey(values.text("teamId"), values.text("id")) },
        ),
        ConsoleForm(
            name = "wave",
            title = "Start a wave",
            fields =
                listOf(FormField("id", "Name"), FormField("poolIds", "Pools, with commas (empty for all)")),
            editOf = { values, _ ->
                ConfigurationEdit.PutWave(Wave(values.text("id"), poolIds = values.list("poolIds")))
            },
        ),
        ConsoleForm(
            name = "wave-command",
            title = "Pause, resume or cancel a wave",
            fields =
                listOf(FormField("id", "Wave"), FormField("command", "Command", WaveCommand.entries.map(::lower))),
            editOf = { values, _ ->
                ConfigurationEdit.CommandWave(
                    values.text("id"),
                    values.choice("command", WaveCommand.entries, ::lower),
                )
            },
        ),
        ConsoleForm(
            name = "operator",
            title = "Operator (gets a new key)",
            fields =
                listOf(
                    FormField("id", "Name"),
                    FormField("rights", "Rights, with commas: change, keys, waves"),
                ),
            grantsKey = true,
            valuesOf = ::operatorValues,
            editOf = { values, hash -> ConfigurationEdit.PutOperator(operator(values, hash)) },
        ),
        removeForm("team") { ConfigurationEdit.RemoveTeam(it) },
        removeForm("pool") { ConfigurationEdit.RemovePool(it) },
        removeForm("queue") { ConfigurationEdit.RemoveQueue(it) },
        removeForm("wave") { ConfigurationEdit.RemoveWave(it) },
        removeForm("operator") { ConfigurationEdit.RemoveOperator(it) },
    )

private fun removeForm(
    kind: String,
    edit: (String) -> ConfigurationEdit,
) = ConsoleForm(
    name = "remove-$kind",
    title = "Remove a $kind",
    fields = listOf(FormField("id", "Name")),
    editOf = { values, _ -> edit(values.text("id")) },
)

private fun teamValues(
    configuration: Configuration,
    id: String,
): Map<String, String> {
    val team = configuration.teams.firstOrNull { it.id == id } ?: return mapOf("id" to id, "shareWeight" to "1")
    return mapOf("id" to id, "shareWeight" to "${team.shareWeight}", "maxRunning" to "${team.maxRunning}")
}

private fun poolValues(
    configuration: Configuration,
    id: String,
): Map<String, String> {
    val pool = configuration.pools.firstOrNull { it.id == id } ?: Pool(id, service = "")
    return mapOf(
        "id" to id,
        "service" to pool.service,
        "maxAway" to "${pool.budget.maxAway}",
        "maxAwayPercent" to
            pool.budget.maxAwayPercent
                ?.toString()
                .orEmpty(),
        "maxAwayPerRack" to
            pool.budget.maxAwayPerRack
                ?.toString()
                .orEmpty(),
        "maxAwayPerZone" to
            pool.budget.maxAwayPerZone
                ?.toString()
                .orEmpty(),
        "slotsPerWorker" to "${pool.slotsPerWorker}",
        "connectionsPerWorker" to "${pool.connectionsPerWorker}",
        "spare" to yesOrNo(pool.spare),
    )
}

private fun pool(values: FormValues) =
    Pool(
        id = values.text("id"),
        service = values.text("service"),
        budget =
            AvailabilityBudget(
                maxAway = values.number("maxAway"),
                maxAwayPercent = values.optionalNumber("maxAwayPercent"),
                maxAwayPerRack = values.optionalNumber("maxAwayPerRack"),
                maxAwayPerZone = values.optionalNumber("maxAwayPerZone"),
            ),
        slotsPerWorker = values.number("slotsPerWorker", 1),
        connectionsPerWorker = values.number("connectionsPerWorker", 1),
        spare = values.flag("spare"),
    )

private fun queueValues(
    configuration: Configuration,
    id: String,
): Map<String, String> {
    val queue = configuration.queues.firstOrNull { it.id == id } ?: Queue(id, poolId = "")
    return mapOf(
        "id" to id,
        "poolId" to queue.poolId,
        "queueClass" to lower(queue.queueClass),
        "idempotent" to yesOrNo(queue.idempotent),
        "openToAll" to yesOrNo(queue.openToAll),
        "teamIds" to queue.teamIds.joinToString(),
        "maxQueued" to "${queue.maxQueued}",
        "maxWaitMillis" to "${queue.maxWaitMillis}",
        "maxRunMillis" to "${queue.maxRunMillis}",
        "finishByMinuteOfDay" to queue.finishByMinuteOfDay?.toString().orEmpty(),
    )
}

private fun queue(values: FormValues) =
    Queue(
        id = values.text("id"),
        poolId = values.text("poolId"),
        queueClass = values.choice("queueClass", QueueClass.entries, ::lower),
        idempotent = values.flag("idempotent"),
        openToAll = values.flag("openToAll"),
        teamIds = values.list("teamIds"),
        maxQueued = values.number("maxQueued", 1),
        maxWaitMillis = values.long("maxWaitMillis"),
        maxRunMillis = values.long("maxRunMillis"),
        finishByMinuteOfDay = values.optionalNumber("finishByMinuteOfDay"),
    )

private fun operatorValues(
    configuration: Configuration,
    id: String,
): Map<String, String> {
    val rights =
        configuration.operators
            .firstOrNull { it.id == id }
            ?.rights
            .orEmpty()
    return mapOf("id" to id, "rights" to rights.joinToString { lower(it) })
}

private fun operator(
    values: FormValues,
    hash: String,
): OperatorAccount {
    val named = values.list("rights")
    val rights = OperatorRight.entries.filter { lower(it) in named }.toSet()
    val unknown = named.filter { name -> OperatorRight.entries.none { lower(it) == name } }
    unknown.forEach { values.reject("rights", "'$it' is no right") }
    return OperatorAccount(values.text("id"), hash, rights)
}
