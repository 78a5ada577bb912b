package org.verbenagauge.entry.state.document

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An operator. Every operator may view; [rights] allow the rest.
 *
 * @property id name of the operator, as it stands in the audit trail.
 * @property keySha256Hex SHA-256 of the operator's key, 64 lower-case hexadecimal digits.
 * @property rights what the operator may change.
 */
@Serializable
public data class OperatorAccount(
    val id: String,
    val keySha256Hex: String,
    val rights: Set<OperatorRight> = emptySet(),
)

/** What an operator may change. */
@Serializable
public enum class OperatorRight {
    /** Pools, teams, queues and operators. */
    @SerialName("change")
    CHANGE,

    /** Keys of teams. */
    @SerialName("keys")
    KEYS,

    /** Maintenance waves. */
    @SerialName("waves")
    WAVES,
}
