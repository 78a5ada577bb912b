package org.verbenagauge.entry.operator

import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.OperatorAccount
import org.verbenagauge.entry.state.document.OperatorRight
import org.verbenagauge.entry.state.document.Team
import java.security.MessageDigest

/** Name of the operator who holds the bootstrap key. */
public const val BOOTSTRAP_OPERATOR_ID: String = "bootstrap"

/**
 * Returns the operators of [configuration]. The bootstrap operator with [bootstrapKeySha256] is one of them, with all
 * rights, while no operator of the document may change the document.
 */
internal fun operatorsOf(
    configuration: Configuration,
    bootstrapKeySha256: String?,
): List<OperatorAccount> {
    val named = configuration.operators
    if (bootstrapKeySha256 == null || named.any { OperatorRight.CHANGE in it.rights }) return named
    return named + OperatorAccount(BOOTSTRAP_OPERATOR_ID, bootstrapKeySha256, OperatorRight.entries.toSet())
}

/** Returns the operator who holds [key], or null; hashes are compared in constant time. */
internal fun List<OperatorAccount>.holderOf(key: String): OperatorAccount? {
    val hash = sha256Hex(key).encodeToByteArray()
    return filter { MessageDigest.isEqual(it.keySha256Hex.encodeToByteArray(), hash) }.firstOrNull()
}

/**
 * Returns the rights that an operator needs to lead the document from [before] to [after]. An operator who changes
 * the account of another one needs every right that this account has before or after, so that nobody can gain rights.
 */
internal fun requiredRights(
    before: Configuration,
    after: Configuration,
): Set<OperatorRight> =
    buildSet {
        if (before.withoutKeysAndWaves() != after.withoutKeysAndWaves()) add(OperatorRight.CHANGE)
        if (before.waves != after.waves || before.moves != after.moves) add(OperatorRight.WAVES)
        if (keysOf(before) != keysOf(after)) add(OperatorRight.KEYS)
        (before.operators.toSet() + after.operators).forEach { account ->
            if (account !in before.operators || account !in after.operators) addAll(account.rights)
        }
    }

private fun Configuration.withoutKeysAndWaves() =
    copy(teams = teams.map { it.copy(keys = emptyList()) }, waves = emptyList(), moves = emptyList())

private fun keysOf(configuration: Configuration) =
    configuration.teams
        .filter { it.keys.isNotEmpty() }
        .associate { team: Team -> team.id to team.keys.toSet() }
