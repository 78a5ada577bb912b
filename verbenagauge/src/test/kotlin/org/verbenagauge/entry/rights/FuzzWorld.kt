package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.peers.RightsMessage
import java.util.PriorityQueue
import kotlin.random.Random

internal const val FUZZ_CHAOS_MILLIS = 8_000L
internal const val FUZZ_CALM_MILLIS = 30_000L
internal const val FUZZ_LONGEST_RUN_MILLIS = 1_500L
private const val TICK_MILLIS = 100L
private const val POOL = "bids"
private const val LONGEST_UNAWARE_MILLIS = 2_000L

/**
 * A fleet of real cores in virtual time under a schedule that follows from [seed]: loss, delay, reordering,
 * duplication, pauses, cuts, store outages, lost answers, stale views, crashes, replacement, planned stops
 * and two operators.
 */
internal class FuzzWorld(
    seed: Long,
    private val trace: ((String) -> Unit)? = null,
) {
    private val random = Random(seed)
    private val timing =
        RightsTiming(
            runMarginMillis = 300,
            takeOverMillis = 500,
        )
    private val log = FakeRightsLog(FUZZ_LONGEST_RUN_MILLIS)
    private val oracle = RightsOracle()
    private val nodes = LinkedHashMap<PeerId, FuzzNode>()
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    private val teams = listOf(Resource.Team("large"), Resource.Team("small"))
    private val slots = (1..3).map { Resource.Slot("worker-$it") }
    private var order = 0L
    private var nowMillis = 0L
    private var incarnations = 0L
    private var storeDownUntilMillis = 0L
    private var calm = false
    private var problem: String? = null
    private val lossPercent = random.nextInt(0, 30)

    /** Runs the schedule and returns what the oracle found, or null. */
    fun run(): String? {
        setUp()
        runUntil(FUZZ_CHAOS_MILLIS)
        calmDown()
        runUntil(FUZZ_CHAOS_MILLIS + FUZZ_CALM_MILLIS) { oracle.lost(log.head, nodes.values) == null && isSettled() }
        return problem ?: oracle.lost(log.head, nodes.values)
    }

    private fun setUp() {
        val first = (1..random.nextInt(3, 10)).map { addNode() }
        val limits = teams.associateWith { random.nextInt(1, 12) } + slots.associateWith { 4 }
        log.setUp(
            RightsView(
                limits = limits,
                poolIdByInstance = slots.associate { it.instanceId to POOL },
                weightByTeam = mapOf("large" to 3, "small" to 1),
            ),
        )
        first.forEach { log.setMembers(log.members + it.id) }
        limits.forEach { (resource, limit) -> oracle.limitChanged(resource, limit) }
        at(random.nextLong(100)) { disturb() }
    }

    private fun addNode(
        entryId: String = "entry-${random.nextInt(9)}",
        create: (PeerId) -> RightsCore = { rightsCore(it, timing) },
    ): FuzzNode {
        val id = PeerId(entryId, ++incarnations)
        val node = FuzzNode(id, create(id), 0.99 + random.nextDouble() * 0.02, nowMillis)
        nodes[id] = node
        at(nowMillis + random.nextLong(TICK_MILLIS)) { tick(node) }
        at(nowMillis + random.nextLong(TICK_MILLIS)) { poll(node) }
        return node
    }

    private fun tick(node: FuzzNode) {
        if (node.isGone()) return
        at(nowMillis + TICK_MILLIS) { tick(node) }
        if (!node.isAwake()) return
        report(node)
        perform(node, node.core.tick(reachable(node), inForceVersion(), node.at(nowMillis).clockMillis()))
        startJobs(node)
    }

    private fun report(node: FuzzNode) {
        teams.forEach { team ->
            val waiting = if (calm || random.nextInt(3) > 0) 0 else random.nextInt(8)
            node.core.waiting(POOL, team.teamId, waiting)
        }
    }

    private fun startJobs(node: FuzzNode) {
        if (calm || !node.at(nowMillis).isFresh()) return
        repeat(random.nextInt(4)) {
            val team = teams.random(random)
            val slot = slots.random(random)
            if (!node.core.tryTake(slot)) return@repeat
            if (!node.core.tryTake(team)) {
                perform(node, node.core.release(slot, node.clockMillis()))
                return@repeat
            }
            val job = FuzzJob(team, slot, nowMillis + random.nextLong(1, 2 * FUZZ_LONGEST_RUN_MILLIS))
            node.jobs += job
            node.core.started(POOL, team.teamId)
            say { "${node.id} starts a request of $team on $slot" }
            at(job.endsAtMillis) { end(node, job) }
        }
    }

    private fun end(
        node: FuzzNode,
        job: FuzzJob,
    ) {
        if (node.jobs.remove(job)) say { "request of ${node.id} on ${job.slot} ends" }
        val owner = node.latest().at(nowMillis)
        if (owner.crashed) return
        owner.core.ended(POOL, (job.team as Resource.Team).teamId)
        perform(owner, owner.core.release(job.team, owner.clockMillis()))
        perform(owner, owner.core.release(job.slot, owner.clockMillis()))
    }

    private fun poll(node: FuzzNode) {
        if (node.isGone()) return
        at(nowMillis + random.nextLong(50, 400)) { poll(node) }
        if (!node.isAwake() || isStoreDown() || isCutOff(node)) return
        val stale = if (calm) 0 else random.nextLong(0, 3)
        val version = maxOf(0, log.head.version - stale)
        perform(node, node.core.viewChanged(log.viewAt(version)))
    }

    private fun perform(
        node: FuzzNode,
        actions: List<RightsAction>,
    ) = actions.forEach { action ->
        when (action) {
            is RightsAction.Send -> send(node, action)
            is RightsAction.Propose -> propose(node, action)
            is RightsAction.Gained -> Unit
        }
    }

    private fun send(
        node: FuzzNode,
        action: RightsAction.Send,
    ) {
        val lost = !calm && (random.nextInt(100) < lossPercent || isCutOff(node))
        say { "${node.id} sends ${action.message} to ${action.to}${if (lost) ", lost" else ""}" }
        if (lost) return
        val copies = if (!calm && random.nextInt(10) == 0) 2 else 1
        repeat(copies) { at(nowMillis + delayMillis()) { deliver(node.id, action.to, action.message) } }
    }

    private fun deliver(
        from: PeerId,
        to: PeerId,
        message: RightsMessage,
    ) {
        val node = receiver(to)
        if (node.isGone() || isCutOff(node)) return
        if (!node.isAwake()) {
            at(node.pausedUntilMillis) { deliver(from, to, message) }
            return
        }
        say { "${node.id} receives $message of $from" }
        perform(node, node.core.received(from, message, node.at(nowMillis).clockMillis()))
    }

    // The address of an entry can lead to a later incarnation of it.
    private fun receiver(to: PeerId): FuzzNode {
        val sameEntry = nodes.values.filter { it.id.entryId == to.entryId }
        return if (!calm && random.nextInt(10) == 0) sameEntry.random(random) else nodes.getValue(to)
    }

    private fun propose(
        node: FuzzNode,
        action: RightsAction.Propose,
    ) {
        if (isStoreDown() || isCutOff(node)) {
            at(nowMillis + delayMillis()) { proposed(node, ProposalOutcome.REFUSED) }
            return
        }
        val answerLost = !calm && random.nextInt(4) == 0
        val effectAtMillis = nowMillis + if (answerLost) random.nextLong(2_000) else delayMillis()
        val happens = !answerLost || random.nextBoolean()
        if (answerLost) at(nowMillis + delayMillis()) { proposed(node, ProposalOutcome.UNKNOWN) }
        at(effectAtMillis) {
            val stored = happens && log.propose(action.baseVersion, action.edit)
            say { "${action.operationId} of ${node.id}: stored $stored, answer lost $answerLost, ${action.edit}" }
            oracle.reported(log.head)
            val outcome = if (stored) ProposalOutcome.STORED else ProposalOutcome.REFUSED
            if (!answerLost) proposed(node, outcome)
        }
    }

    private fun proposed(
        node: FuzzNode,
        outcome: ProposalOutcome,
    ) {
        if (!node.isGone()) perform(node, node.core.proposed(outcome, node.at(nowMillis).clockMillis()))
    }

    private fun disturb() {
        if (calm) return
        at(nowMillis + random.nextLong(20, 400)) { disturb() }
        val node = nodes.values.filter { !it.isGone() }.randomOrNull(random) ?: return
        when (random.nextInt(12)) {
            0 -> crash(node)
            1, 2 -> node.pausedUntilMillis = nowMillis + random.nextLong(3_000)
            3 -> node.cutOffUntilMillis = nowMillis + random.nextLong(3_000)
            4 -> storeDownUntilMillis = nowMillis + random.nextLong(2_000)
            5, 6 -> remove(node.id)
            7 -> listOf(::join, { rejoin(node) }, { renew(node) }).random(random)()
            8 -> node.core.stop()
            9 -> changeLimit(slots.random(random), random.nextInt(0, 6))
            else -> changeLimit(teams.random(random), random.nextInt(0, 12))
        }
        say {
            "disturbed near ${node.id}: paused until ${node.pausedUntilMillis}, cut off until ${node.cutOffUntilMillis}"
        }
    }

    private fun crash(node: FuzzNode) {
        say { "${node.id} crashes with ${node.jobs.size} requests running" }
        node.crashed = true
    }

    private fun remove(id: PeerId) {
        if (isStoreDown() || id !in log.members) return
        log.setMembers(log.members - id)
        val removed = nodes.getValue(id)
        removed.mayStartUntilMillis = nowMillis + random.nextLong(LONGEST_UNAWARE_MILLIS)
        removed.removedVersion = log.head.version
        say { "$id is removed with version ${log.head.version}" }
    }

    private fun join() {
        if (isStoreDown()) return
        val node = addNode()
        log.setMembers(log.members + node.id)
        say { "${node.id} joins with version ${log.head.version}" }
    }

    private fun rejoin(node: FuzzNode) {
        if (isStoreDown() || node.id in log.members || node.core.isMember) return
        log.setMembers(log.members + node.id)
        node.mayStartUntilMillis = Long.MAX_VALUE
        node.removedVersion = Long.MAX_VALUE
        say { "${node.id} joins again with version ${log.head.version}" }
    }

    // The process goes on under a new incarnation, with the requests of the old one still running.
    private fun renew(node: FuzzNode) {
        if (isStoreDown() || node.id in log.members || node.core.isMember) return
        val next = addNode(node.id.entryId) { node.core.renewed(it) }
        node.successor = next
        log.setMembers(log.members + next.id)
        say { "${node.id} goes on as ${next.id} with version ${log.head.version}" }
    }

    private fun changeLimit(
        resource: Resource,
        limit: Int,
    ) {
        if (isStoreDown()) return
        log.setLimit(resource, limit)
        say { "limit of $resource is $limit with version ${log.head.version}" }
        oracle.limitChanged(resource, limit)
        oracle.reported(log.head)
    }

    private fun calmDown() {
        calm = true
        storeDownUntilMillis = 0
        nodes.values.forEach {
            it.pausedUntilMillis = 0
            it.cutOffUntilMillis = 0
        }
        join()
        nodes.values.filter { it.crashed }.forEach { remove(it.id) }
        say { "all is calm" }
    }

    private fun isSettled() =
        log.head.rights
            .departed()
            .isEmpty()

    private fun runUntil(
        endMillis: Long,
        isDone: () -> Boolean = { false },
    ) {
        while (problem == null && events.isNotEmpty() && events.peek().atMillis <= endMillis) {
            val event = events.poll()
            nowMillis = maxOf(nowMillis, event.atMillis)
            event.run()
            nodes.values.forEach { it.at(nowMillis) }
            problem = oracle.problem(nodes.values)?.let { "$nowMillis ms: $it" }
            if (event.order % DONE_CHECK_EVENTS == 0L && isDone()) return
        }
    }

    private fun reachable(node: FuzzNode) =
        nodes.values.filter { !it.isGone() && !isCutOff(it) && it !== node }.mapTo(HashSet()) { it.id }

    // A removal is in force once the removed incarnation may not start anything any more.
    private fun inForceVersion(): Long {
        val unaware = nodes.values.filter { it.removedVersion < Long.MAX_VALUE && it.isFresh() }
        return minOf(log.head.version, (unaware.minOfOrNull { it.removedVersion } ?: Long.MAX_VALUE) - 1)
    }

    private fun isStoreDown() = nowMillis < storeDownUntilMillis

    private fun isCutOff(node: FuzzNode) = nowMillis < node.cutOffUntilMillis

    private fun delayMillis(): Long =
        if (!calm &&
            random.nextInt(10) == 0
        ) {
            random.nextLong(3_000)
        } else {
            random.nextLong(1, 20)
        }

    private fun at(
        atMillis: Long,
        run: () -> Unit,
    ) {
        events += Event(atMillis, order++, run)
    }

    private fun say(text: () -> String) {
        trace?.invoke("$nowMillis ms: ${text()}")
    }

    private class Event(
        val atMillis: Long,
        val order: Long,
        val run: () -> Unit,
    )

    private companion object {
        const val DONE_CHECK_EVENTS = 64L
    }
}
