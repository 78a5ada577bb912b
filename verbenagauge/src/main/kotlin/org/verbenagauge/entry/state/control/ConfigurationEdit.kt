package org.verbenagauge.entry.state.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.OperatorAccount
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.Team
import org.verbenagauge.entry.state.document.TeamKey
import org.verbenagauge.entry.state.document.Wave
import org.verbenagauge.entry.state.document.WaveCommand

/** Edit of the document. */
@Serializable
public sealed interface ConfigurationEdit : Edit {
    /** Replaces the whole document. */
    @Serializable
    @SerialName("replace-configuration")
    public data class Replace(
        val configuration: Configuration,
    ) : ConfigurationEdit

    /** Adds [pool], or replaces the pool of that name. */
    @Serializable
    @SerialName("put-pool")
    public data class PutPool(
        val pool: Pool,
    ) : ConfigurationEdit

    /** Removes the pool [poolId]. */
    @Serializable
    @SerialName("remove-pool")
    public data class RemovePool(
        val poolId: String,
    ) : ConfigurationEdit

    /** Adds [team], or replaces the team of that name; keys of [team] are not taken, the keys in force stay. */
    @Serializable
    @SerialName("put-team")
    public data class PutTeam(
        val team: Team,
    ) : ConfigurationEdit

    /** Removes the team [teamId] and its keys. */
    @Serializable
    @SerialName("remove-team")
    public data class RemoveTeam(
        val teamId: String,
    ) : ConfigurationEdit

    /** Adds [queue], or replaces the queue of that name. */
    @Serializable
    @SerialName("put-queue")
    public data class PutQueue(
        val queue: Queue,
    ) : ConfigurationEdit

    /** Removes the queue [queueId]. */
    @Serializable
    @SerialName("remove-queue")
    public data class RemoveQueue(
        val queueId: String,
    ) : ConfigurationEdit

    /** Grants [key] to the team [teamId]. */
    @Serializable
    @SerialName("grant-key")
    public data class GrantKey(
        val teamId: String,
        val key: TeamKey,
    ) : ConfigurationEdit

    /** Withdraws the key [keyId] of the team [teamId]. */
    @Serializable
    @SerialName("withdraw-key")
    public data class WithdrawKey(
        val teamId: String,
        val keyId: String,
    ) : ConfigurationEdit

    /** Adds [wave], or replaces the wave of that name. */
    @Serializable
    @SerialName("put-wave")
    public data class PutWave(
        val wave: Wave,
    ) : ConfigurationEdit

    /** Removes the wave [waveId] from the document. */
    @Serializable
    @SerialName("remove-wave")
    public data class RemoveWave(
        val waveId: String,
    ) : ConfigurationEdit

    /** Pauses, resumes or cancels the wave [waveId]. */
    @Serializable
    @SerialName("command-wave")
    public data class CommandWave(
        val waveId: String,
        val command: WaveCommand,
    ) : ConfigurationEdit

    /** Adds [operator], or replaces the operator of that name. */
    @Serializable
    @SerialName("put-operator")
    public data class PutOperator(
        val operator: OperatorAccount,
    ) : ConfigurationEdit

    /** Removes the operator [operatorId]; its key and its sessions end. */
    @Serializable
    @SerialName("remove-operator")
    public data class RemoveOperator(
        val operatorId: String,
    ) : ConfigurationEdit
}

/** Returns the document after [edit]; it is not validated yet. */
internal fun Configuration.edited(edit: ConfigurationEdit): PartOutcome<Configuration> =
    when (edit) {
        is ConfigurationEdit.Replace -> PartOutcome.Edited(edit.configuration)
        is ConfigurationEdit.PutPool -> PartOutcome.Edited(copy(pools = pools.put(edit.pool) { it.id }))
        is ConfigurationEdit.RemovePool -> pools.remove("pool", edit.poolId, { it.id }) { copy(pools = it) }
        is ConfigurationEdit.PutTeam -> PartOutcome.Edited(putTeam(edit.team))
        is ConfigurationEdit.RemoveTeam -> teams.remove("team", edit.teamId, { it.id }) { copy(teams = it) }
        is ConfigurationEdit.PutQueue -> PartOutcome.Edited(copy(queues = queues.put(edit.queue) { it.id }))
        is ConfigurationEdit.RemoveQueue -> queues.remove("queue", edit.queueId, { it.id }) { copy(queues = it) }
        is ConfigurationEdit.GrantKey -> grant(edit)
        is ConfigurationEdit.WithdrawKey -> withdraw(edit)
        is ConfigurationEdit.PutWave -> PartOutcome.Edited(copy(waves = waves.put(edit.wave) { it.id }))
        is ConfigurationEdit.RemoveWave -> waves.remove("wave", edit.waveId, { it.id }) { copy(waves = it) }
        is ConfigurationEdit.CommandWave -> command(edit)
        is ConfigurationEdit.PutOperator -> PartOutcome.Edited(copy(operators = operators.put(edit.operator) { it.id }))
        is ConfigurationEdit.RemoveOperator ->
            operators.remove("operator", edit.operatorId, { it.id }) { copy(operators = it) }
    }

private fun Configuration.putTeam(team: Team): Configuration {
    val keys = teams.firstOrNull { it.id == team.id }?.keys.orEmpty()
    return copy(teams = teams.put(team.copy(keys = keys)) { it.id })
}

private fun Configuration.grant(edit: ConfigurationEdit.GrantKey): PartOutcome<Configuration> {
    val team = teams.firstOrNull { it.id == edit.teamId } ?: return missing("team", edit.teamId)
    if (team.keys.any { it.id == edit.key.id }) {
        return PartOutcome.Rejected(
            listOf("teams['${team.id}'].keys.id: key '${edit.key.id}' exists; withdraw it or take another name"),
        )
    }
    return PartOutcome.Edited(copy(teams = teams.put(team.copy(keys = team.keys + edit.key)) { it.id }))
}

private fun Configuration.withdraw(edit: ConfigurationEdit.WithdrawKey): PartOutcome<Configuration> {
    val team = teams.firstOrNull { it.id == edit.teamId } ?: return missing("team", edit.teamId)
    val rest = team.keys.filter { it.id != edit.keyId }
    if (rest.size == team.keys.size) {
        return PartOutcome.Rejected(listOf("teams['${team.id}'].keys.id: key '${edit.keyId}' does not exist"))
    }
    return PartOutcome.Edited(copy(teams = teams.put(team.copy(keys = rest)) { it.id }))
}

private fun Configuration.command(edit: ConfigurationEdit.CommandWave): PartOutcome<Configuration> {
    val wave = waves.firstOrNull { it.id == edit.waveId } ?: return missing("wave", edit.waveId)
    if (wave.command == WaveCommand.CANCEL && edit.command != WaveCommand.CANCEL) {
        return PartOutcome.Rejected(listOf("waves['${wave.id}'].command: a cancelled wave stays so; start another one"))
    }
    return PartOutcome.Edited(copy(waves = waves.put(wave.copy(command = edit.command)) { it.id }))
}

private fun missing(
    kind: String,
    id: String,
) = PartOutcome.Rejected(listOf("${kind}s.id: $kind '$id' does not exist"))

private fun <T> List<T>.put(
    item: T,
    idOf: (T) -> String,
): List<T> {
    val index = indexOfFirst { idOf(it) == idOf(item) }
    return if (index < 0) this + item else toMutableList().also { it[index] = item }
}

private fun <T> List<T>.remove(
    kind: String,
    id: String,
    idOf: (T) -> String,
    next: (List<T>) -> Configuration,
): PartOutcome<Configuration> {
    val rest = filter { idOf(it) != id }
    return if (rest.size == size) missing(kind, id) else PartOutcome.Edited(next(rest))
}
