package org.verbenagauge.fake

import org.verbenagauge.entry.state.store.InstanceAction
import org.verbenagauge.entry.state.store.InstanceService
import org.verbenagauge.entry.state.store.ListedInstance
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.WriteOutcome

/** Call of [FakeInstanceService.act]. */
data class FakeAct(
    val instanceId: String,
    val action: InstanceAction,
    val operationId: String,
)

/** Instance list in memory; it shows what a test has put into [listed], however old that is. */
class FakeInstanceService : InstanceService {
    /** While true, no request reaches the service. */
    var down = false

    /** What the list shows. */
    var listed = listOf<ListedInstance>()

    /** Actions that were asked for, in order. */
    val acts = mutableListOf<FakeAct>()

    /** Answers of the next actions, in order, which take effect all the same; later ones are applied. */
    val actOutcomes = ArrayDeque<WriteOutcome>()

    override suspend fun list(): ReadOutcome<List<ListedInstance>> =
        if (down) ReadOutcome.Unavailable("the fake is down") else ReadOutcome.Found(listed)

    override suspend fun act(
        instanceId: String,
        action: InstanceAction,
        operationId: String,
    ): WriteOutcome {
        if (down) return WriteOutcome.Unavailable("the fake is down")
        acts += FakeAct(instanceId, action, operationId)
        return actOutcomes.removeFirstOrNull() ?: WriteOutcome.Applied
    }
}
