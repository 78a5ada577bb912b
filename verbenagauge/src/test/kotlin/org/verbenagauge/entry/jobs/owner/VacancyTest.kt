package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.front.ObservedOwner
import org.verbenagauge.entry.jobs.records.OwnerRecord

private data class VacancyCase(
    val name: String,
    val ownerId: String?,
    val unchangedMillis: Long,
    val isVacant: Boolean,
    val rank: Int = 0,
    val contactMillis: Long? = 60_000,
    val storeSilenceMillis: Long = 0,
    val heartbeatsStoppedMillis: Long? = null,
    val ageAtStartMillis: Long? = null,
)

private data class HeldCase(
    val ownerId: String?,
    val unchangedMillis: Long,
    val certainlyHeldMillis: Long,
    val ageAtStartMillis: Long? = null,
)

class VacancyTest :
    FunSpec({
        context("whether ownership is vacant when") {
            withData(
                nameFn = { it.name },
                VacancyCase("nobody has ever held it", null, 0, true),
                VacancyCase("it was released", "", 0, true),
                VacancyCase("a higher rank waits", "", 50, false, rank = 1),
                VacancyCase("a higher rank takes it over in the end", "", 100, true, rank = 1),
                VacancyCase("the owner renews", "other", 400, false),
                VacancyCase("the lease has expired", "other", 1_950, true),
                VacancyCase("the store has only just come back", "other", 5_000, false, contactMillis = 300),
                VacancyCase("the store does not answer", "other", 5_000, false, contactMillis = null),
                VacancyCase("the feed is silent", "other", 5_000, false, storeSilenceMillis = 1_800),
                VacancyCase(
                    "this process found an old row at its start",
                    "other",
                    0,
                    true,
                    contactMillis = 5,
                    ageAtStartMillis = 2_600,
                ),
                VacancyCase("the clock that wrote the row is behind", "other", 0, false, ageAtStartMillis = 2_400),
                VacancyCase(
                    "a higher rank lets others go first",
                    "other",
                    50,
                    false,
                    rank = 1,
                    ageAtStartMillis = 2_600,
                ),
                VacancyCase("an earlier process of this entry held it", "self", 0, true),
                VacancyCase("the heartbeats have stopped", "other", 800, true, heartbeatsStoppedMillis = 1_000),
                VacancyCase(
                    "the heartbeats have stopped, the row still changes",
                    "other",
                    300,
                    false,
                    heartbeatsStoppedMillis = 1_000,
                ),
                VacancyCase(
                    "heartbeats stopped long before the row",
                    "other",
                    900,
                    false,
                    heartbeatsStoppedMillis = 5_000,
                ),
                VacancyCase("heartbeats stopped, later the row", "other", 1_950, true, heartbeatsStoppedMillis = 5_000),
            ) { case ->
                val now = 100_000L
                val record = case.ownerId?.let { OwnerRecord(it, epoch = 3, sequence = 9) }
                val observation =
                    OwnerObservation(
                        seen = ObservedOwner(record, 5, now - case.unchangedMillis, case.ageAtStartMillis),
                        contactSinceMillis = case.contactMillis?.let { now - it },
                        storeSilenceMillis = case.storeSilenceMillis,
                        heartbeatsStoppedAtMillis = case.heartbeatsStoppedMillis?.let { now - it },
                    )
                val vacancy = Vacancy("self", OwnerSettings())
                vacancy.isVacant(observation, case.rank, now) shouldBe case.isVacant
                // Neither the check for rank 0 nor the time certain to be held may hide a vacancy.
                if (case.isVacant) {
                    vacancy.isVacant(observation, 0, now) shouldBe true
                    vacancy.certainlyHeldMillis(observation.seen, now) shouldBe 0
                }
            }
        }

        context("time in which ownership is certain to be held") {
            withData(
                nameFn = {
                    "'${it.ownerId}', unchanged ${it.unchangedMillis} ms, ${it.ageAtStartMillis} ms old at the start"
                },
                HeldCase("other", 0, 800),
                HeldCase("other", 300, 500),
                HeldCase("other", 900, 0),
                HeldCase("other", 0, 0, ageAtStartMillis = 2_600),
                HeldCase("self", 0, 0),
                HeldCase("", 0, 0),
                HeldCase(null, 0, 0),
            ) { case ->
                val now = 100_000L
                val record = case.ownerId?.let { OwnerRecord(it, epoch = 3, sequence = 9) }
                val seen = ObservedOwner(record, 5, now - case.unchangedMillis, case.ageAtStartMillis)
                Vacancy("self", OwnerSettings()).certainlyHeldMillis(seen, now) shouldBe case.certainlyHeldMillis
            }
        }
    })
