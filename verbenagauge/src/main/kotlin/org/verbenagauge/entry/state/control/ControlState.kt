package org.verbenagauge.entry.state.control

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.validate

/** Outcome of applying an [Edit]. */
public sealed interface ApplyOutcome {
    /** The edit is valid and leads to [state]. */
    public data class Applied(
        val state: ControlState,
    ) : ApplyOutcome

    /** The edit is not valid; [problems] name each thing that is wrong and where. */
    public data class Rejected(
        val problems: List<String>,
    ) : ApplyOutcome
}

/**
 * State that all entries share: the result of all accepted changes.
 *
 * @property version version of the last change.
 * @property lastHash hash of the last change, empty for none.
 * @property configuration document in force.
 * @property configurationVersion version of the last change of [configuration].
 * @property fleet pools of the instances.
 * @property membership entry instances whose acknowledgements count.
 * @property rights rights granted to entries.
 */
@Serializable
public data class ControlState(
    val version: Long = 0,
    val lastHash: String = "",
    val configuration: Configuration = Configuration(),
    val configurationVersion: Long = 0,
    val fleet: FleetState = FleetState(),
    val membership: Membership = Membership(),
    val rights: RightsState = RightsState(),
) {
    /** Applies [edit] as the next version whose change has [hash]. */
    public fun apply(
        edit: Edit,
        hash: String,
    ): ApplyOutcome {
        val next = copy(version = version + 1, lastHash = hash)
        val outcome =
            when (edit) {
                is ConfigurationEdit -> next.editConfiguration(edit)
                is FleetEdit -> fleet.edited(edit, configuration, next.version).lead { next.copy(fleet = it) }
                is MembershipEdit -> membership.edited(edit, next.version).lead { next.copy(membership = it) }
                is RightsEdit -> rights.edited(edit, ::limitOf).lead { next.copy(rights = it) }
            }
        return if (outcome is ApplyOutcome.Applied) ApplyOutcome.Applied(outcome.state.rightsFollowing()) else outcome
    }

    private fun editConfiguration(edit: ConfigurationEdit): ApplyOutcome =
        when (val outcome = configuration.edited(edit)) {
            is PartOutcome.Rejected -> ApplyOutcome.Rejected(outcome.problems)
            is PartOutcome.Edited -> putInForce(outcome.part)
        }

    private fun putInForce(edited: Configuration): ApplyOutcome {
        val problems = validate(edited) + fleet.problemsUnder(edited)
        return if (problems.isEmpty()) {
            ApplyOutcome.Applied(
                copy(
                    configuration = edited,
                    configurationVersion = version,
                    fleet = fleet.withHistory(edited),
                ),
            )
        } else {
            ApplyOutcome.Rejected(problems)
        }
    }
}

private fun FleetState.problemsUnder(configuration: Configuration): List<String> =
    (poolIdByInstance.values.toSet() - configuration.pools.map { it.id }.toSet())
        .map { "pools: pool '$it' still has instances; move them before it is removed" }

private fun <T> PartOutcome<T>.lead(next: (T) -> ControlState): ApplyOutcome =
    when (this) {
        is PartOutcome.Edited -> ApplyOutcome.Applied(next(part))
        is PartOutcome.Rejected -> ApplyOutcome.Rejected(problems)
    }
