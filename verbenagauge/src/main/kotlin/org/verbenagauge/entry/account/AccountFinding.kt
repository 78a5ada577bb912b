package org.verbenagauge.entry.account

import kotlinx.serialization.Serializable

/** Kind of damage that a verification of the account finds. */
@Serializable
public enum class FindingKind(
    public val text: String,
) {
    UNREADABLE("a segment cannot be read"),
    MISPLACED("a segment stands under the name of another one"),
    GAP("records are missing"),
    BROKEN_LINK("a segment does not continue the hash of the one before"),
    CHANGED("the records of a segment do not give the hash at its end"),
    DISORDERED("a record is out of sequence, or its time does not rise"),
    AFTER_CLOSE("records follow the end of a chain"),
    REWRITTEN("a peer has seen another hash at this position"),
    MISSING_TAIL("a peer has seen records after the last one that is stored"),
    MISSING_CHAIN("a peer has seen a chain of which nothing is stored"),
    FOREIGN("an object is no segment"),
}

/**
 * Damage of the account.
 *
 * @property kind kind.
 * @property place name of the segment or chain.
 * @property sequence first sequence concerned, or null when it is not known.
 * @property detail what was found.
 */
@Serializable
public data class AccountFinding(
    val kind: FindingKind,
    val place: String,
    val sequence: Long?,
    val detail: String,
)

/**
 * What is known of one chain.
 *
 * @property chain chain.
 * @property zoneId availability zone that its entry instance named, or null.
 * @property records records.
 * @property answered requests with a record of their own.
 * @property counted requests that were only counted.
 * @property firstWallMillis time of the first record.
 * @property lastWallMillis time of the last record.
 * @property lastSequence sequence of the last record.
 * @property headHash hash after the last record, in hexadecimal digits.
 * @property closed whether a planned stop ended the chain.
 * @property witnessedThrough last sequence whose hash stands in the chain of a peer, or -1.
 */
@Serializable
public data class ChainReport(
    val chain: ChainId,
    val zoneId: String?,
    val records: Long,
    val answered: Long,
    val counted: Long,
    val firstWallMillis: Long,
    val lastWallMillis: Long,
    val lastSequence: Long,
    val headHash: String,
    val closed: Boolean,
    val witnessedThrough: Long,
)

/**
 * Result of a verification of the account.
 *
 * @property findings damage; empty when none was found.
 * @property chains what is known of each chain.
 * @property changeHeads versions of the sequence of changes and their hashes, as the chains hold them.
 * @property notStoredYet records that a peer has seen lately and that are not stored.
 */
@Serializable
public data class AccountReport(
    val findings: List<AccountFinding>,
    val chains: List<ChainReport>,
    val changeHeads: Map<Long, String>,
    val notStoredYet: List<String> = emptyList(),
) {
    /** Returns, in words, what this verification does not prove. */
    public fun notProved(): List<String> =
        listOf("a chain that no other chain names, and of which nothing is stored, does not show") +
            notStoredYet +
            chains.flatMap(::notProvedOf)

    private fun notProvedOf(report: ChainReport): List<String> {
        val unwitnessed = report.lastSequence - report.witnessedThrough
        return listOfNotNull(
            "chain ${report.chain} has no end: records after ${report.lastSequence} may be missing"
                .takeIf { !report.closed },
            (
                "chain ${report.chain}: no peer holds a hash after record ${report.witnessedThrough}: who can write " +
                    "the object store could have changed or cut the last $unwitnessed records without a trace"
            ).takeIf { unwitnessed > 0 },
            "chain ${report.chain}: ${report.counted} requests were only counted, without their order"
                .takeIf { report.counted > 0 },
        )
    }
}
