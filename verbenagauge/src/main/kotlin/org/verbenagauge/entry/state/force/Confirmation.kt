package org.verbenagauge.entry.state.force

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.limits
import org.verbenagauge.entry.state.control.majorityOf

/**
 * Finds the last instant at which no change later than the version of this entry was accepted.
 *
 * Three answers tell so: the table service's, when its head was this version; those of a majority of the
 * members, when none of them held a later version; and that of one member, with the age of its own confirmation.
 */
internal class Confirmation(
    private val limits: ForceLimits,
) {
    private val questions = LinkedHashMap<Long, Question>()
    private val lastAnswers = HashMap<PeerId, LastAnswer>()
    private var nextQuestionId = 1L

    /** Instant of the confirmation on the local clock, or null for none yet. */
    var confirmedAtMillis: Long? = null
        private set

    /** Notes a question to [to] and returns its id. */
    fun ask(
        to: PeerId,
        nowMillis: Long,
    ): Long {
        val id = nextQuestionId++
        questions[id] = Question(to, nowMillis)
        if (questions.size > MAX_QUESTIONS) questions.remove(questions.keys.first())
        return id
    }

    /** Notes that the table service held no version later than the local one when it was asked. */
    fun confirmedByStore(askedAtMillis: Long) = confirm(askedAtMillis)

    /** Notes an answer of [from], which held [heldVersion] and was confirmed [ageMillis] before it answered. */
    fun answered(
        from: PeerId,
        questionId: Long,
        heldVersion: Long,
        ageMillis: Long?,
    ) {
        val question = questions[questionId]?.takeIf { it.to == from } ?: return
        questions.remove(questionId)
        val known = lastAnswers[from]
        if (known != null && known.askedAtMillis > question.askedAtMillis) return
        val confirmedAtMillis = ageMillis?.let { question.askedAtMillis - limits.longestAgeMillis(it) }
        lastAnswers[from] = LastAnswer(question.askedAtMillis, heldVersion, confirmedAtMillis)
    }

    /** Draws the conclusion from the answers for an entry that holds the version of [state]. */
    fun conclude(
        state: ControlState,
        localId: PeerId,
        nowMillis: Long,
    ) {
        val members = state.membership.ids
        lastAnswers.keys.retainAll(members)
        val usable = lastAnswers.filterValues { it.heldVersion <= state.version }
        usable.values
            .mapNotNull { it.confirmedAtMillis }
            .maxOrNull()
            ?.let(::confirm)
        val askedAtMillis = members.mapNotNull { if (it == localId) nowMillis else usable[it]?.askedAtMillis }
        val needed = majorityOf(members.size)
        if (needed == 0 || askedAtMillis.size < needed) return
        confirm(askedAtMillis.sortedDescending()[needed - 1])
    }

    private fun confirm(atMillis: Long) {
        confirmedAtMillis = maxOf(confirmedAtMillis ?: atMillis, atMillis)
    }

    private class Question(
        val to: PeerId,
        val askedAtMillis: Long,
    )

    private class LastAnswer(
        val askedAtMillis: Long,
        val heldVersion: Long,
        val confirmedAtMillis: Long?,
    )

    private companion object {
        const val MAX_QUESTIONS = 1_024
    }
}
