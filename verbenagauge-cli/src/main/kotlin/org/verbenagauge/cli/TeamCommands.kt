package org.verbenagauge.cli

import io.ktor.http.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.KSerializer
import org.verbenagauge.entry.operator.DocumentView
import org.verbenagauge.entry.operator.GrantedKey
import org.verbenagauge.entry.operator.KeyRequest
import org.verbenagauge.entry.operator.adminJson
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Team

internal fun teamCommands() =
    CommandGroup(
        "team",
        "Teams. Example: verbenagauge team list",
        ListCommand("team", Team.serializer(), { it.teams }) {
            "${it.id}  share ${it.shareWeight}  limit ${it.maxRunning}  keys ${it.keys.joinToString { key -> key.id }}"
        },
        TeamPutCommand(),
        RemoveCommand("team"),
    )

internal fun poolCommands() =
    CommandGroup(
        "pool",
        "Pools. Example: verbenagauge pool list",
        ListCommand("pool", Pool.serializer(), { it.pools }) {
            "${it.id}  service ${it.service}  away at most ${it.budget.maxAway}  slots ${it.slotsPerWorker}"
        },
        PoolPutCommand(),
        RemoveCommand("pool"),
    )

internal fun keyCommands() =
    CommandGroup(
        "key",
        "Keys of teams. Example: verbenagauge key grant --team growers --id first",
        KeyGrantCommand(),
        KeyWithdrawCommand(),
    )

internal class ListCommand<T>(
    kind: String,
    private val serializer: KSerializer<T>,
    private val select: (Configuration) -> List<T>,
    private val text: (T) -> String,
) : AdminCommand("list", "List every $kind. Example: verbenagauge $kind list --output json") {
    override suspend fun carryOut(client: AdminClient): ExitCode =
        ifDone(client.get("document"), DocumentView.serializer()) { view ->
            printAll(serializer, select(view.document), text)
            ExitCode.OK
        }
}

@OptIn(ExperimentalCli::class)
internal class RemoveCommand(
    private val kind: String,
) : AdminCommand("remove", "Remove a $kind. Example: verbenagauge $kind remove --id old") {
    private val id by option(ArgType.String, "id", description = "Name of the $kind").required()

    override suspend fun carryOut(client: AdminClient): ExitCode =
        changeDocument(client) { DocumentRequest(HttpMethod.Delete, "${kind}s/$id") }
}

@OptIn(ExperimentalCli::class)
internal class TeamPutCommand :
    AdminCommand(
        "put",
        "Add or change a team; its keys stay. Example: verbenagauge team put --id growers --share 3 --limit 48",
    ) {
    private val id by option(ArgType.String, "id", description = "Name of the team").required()
    private val share by option(ArgType.Int, "share", description = "Weight when the fleet is full").default(1)
    private val limit by option(ArgType.Int, "limit", description = "Most requests running at once").required()

    override suspend fun carryOut(client: AdminClient): ExitCode =
        changeDocument(client) { view ->
            val known = view.document.teams.firstOrNull { it.id == id } ?: Team(id, maxRunning = limit)
            val team = known.copy(keys = emptyList(), shareWeight = share, maxRunning = limit)
            DocumentRequest(HttpMethod.Put, "teams/$id", adminJson.encodeToString(Team.serializer(), team))
        }
}

@OptIn(ExperimentalCli::class)
internal class PoolPutCommand :
    AdminCommand(
        "put",
        "Add or change a pool. Example: verbenagauge pool put --id inspection --service inspection --max-away 2",
    ) {
    private val id by option(ArgType.String, "id", description = "Name of the pool").required()
    private val service by option(ArgType.String, "service", description = "Service of its instances").required()
    private val maxAway by option(ArgType.Int, "max-away", description = "Instances that may be away").default(1)

    override suspend fun carryOut(client: AdminClient): ExitCode =
        changeDocument(client) { view ->
            val known = view.document.pools.firstOrNull { it.id == id } ?: Pool(id, service)
            val pool = known.copy(service = service, budget = known.budget.copy(maxAway = maxAway))
            DocumentRequest(HttpMethod.Put, "pools/$id", adminJson.encodeToString(Pool.serializer(), pool))
        }
}

@OptIn(ExperimentalCli::class)
internal class KeyGrantCommand :
    AdminCommand(
        "grant",
        "Grant a key, which is shown once. Example: verbenagauge key grant --team growers --id first",
    ) {
    private val team by option(ArgType.String, "team", description = "Team").required()
    private val id by option(ArgType.String, "id", description = "Name of the key").required()

    override suspend fun carryOut(client: AdminClient): ExitCode {
        val body = adminJson.encodeToString(KeyRequest.serializer(), KeyRequest(id))
        return ifDone(
            client.change(HttpMethod.Post, "teams/$team/keys", body, "*"),
            GrantedKey.serializer(),
        ) { granted ->
            print(GrantedKey.serializer(), granted) { granted.key }
            ExitCode.OK
        }
    }
}

@OptIn(ExperimentalCli::class)
internal class KeyWithdrawCommand :
    AdminCommand("withdraw", "Withdraw a key. Example: verbenagauge key withdraw --team growers --id first") {
    private val team by option(ArgType.String, "team", description = "Team").required()
    private val id by option(ArgType.String, "id", description = "Name of the key").required()

    override suspend fun carryOut(client: AdminClient): ExitCode =
        accept(client.change(HttpMethod.Delete, "teams/$team/keys/$id", null, "*"))
}
