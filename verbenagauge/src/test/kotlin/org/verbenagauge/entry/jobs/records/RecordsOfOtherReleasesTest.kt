package org.verbenagauge.entry.jobs.records

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlinx.serialization.Serializable

/** Row of the roster as releases without the end of leases store it. */
@Serializable
private data class EarlierRosterRecord(
    val serviceName: String,
    val host: String,
    val port: Int,
    val bornUnixMillis: Long,
    val machineId: String,
    val queueNames: Set<String>,
)

/** Row of the owner as such releases store it. */
@Serializable
private data class EarlierOwnerRecord(
    val entryId: String,
    val epoch: Long,
    val sequence: Long,
    val writtenUnixMillis: Long = 0,
    val keepsRoster: Boolean = false,
)

private val earlierRow = EarlierRosterRecord("hall", "127.0.0.1", 1, 77, "m1", setOf("tallies"))
private val earlierOwner = EarlierOwnerRecord("a", epoch = 3, sequence = 9, keepsRoster = true)

// Guards against owners that cannot read each other's rows while versions roll.
class RecordsOfOtherReleasesTest :
    FunSpec({
        test("an earlier release reads the row of a silent worker") {
            val row =
                RosterRecord("hall", "127.0.0.1", 1, 77, "m1", setOf("tallies"), LeaseEndRecord(4, 70_000, 71_000))
            val bytes = RecordCodec.encode(RosterRecord.serializer(), row)
            RecordCodec.decode(EarlierRosterRecord.serializer(), bytes) shouldBe earlierRow
        }

        test("the row of an earlier release has no end of leases") {
            val bytes = RecordCodec.encode(EarlierRosterRecord.serializer(), earlierRow)
            RecordCodec.decode(RosterRecord.serializer(), bytes)?.leaseEnd.shouldBeNull()
        }

        test("an earlier release reads the row of the owner, and drops since when ends of leases count") {
            val row =
                OwnerRecord("a", 3, 9, keepsRoster = true, leaseEndsSinceEpoch = 2, earlierLeasesEndMillis = 70_000)
            val read =
                RecordCodec.decode(EarlierOwnerRecord.serializer(), RecordCodec.encode(OwnerRecord.serializer(), row))
            read shouldBe earlierOwner
            val rewritten = RecordCodec.encode(EarlierOwnerRecord.serializer(), earlierOwner)
            RecordCodec.decode(OwnerRecord.serializer(), rewritten)?.leaseEndsSinceEpoch.shouldBeNull()
        }
    })
