package org.verbenagauge.entry.account

private val segmentNamePattern = Regex("account/(.+)-([0-9a-f]{1,16})/([0-9]{16})")

/** Segments of the account, wherever they lie. */
public interface SegmentSource {
    /** Returns the names of all objects of the account, in order. */
    public suspend fun names(): List<String>

    /** Returns the object [name]; null when it cannot be read. */
    public suspend fun read(name: String): ByteArray?
}

/** Returns the chain that the object [name] belongs to, or null when it is no segment. */
internal fun chainOfSegment(name: String): ChainId? {
    val match = segmentNamePattern.matchEntire(name) ?: return null
    return ChainId(match.groupValues[1], match.groupValues[2])
}

/**
 * Verifies the account in [source].
 *
 * Each chain is checked by itself: sequence, times, and the hash over every record. Then the hashes that chains hold
 * of each other are compared, which shows a chain that was cut or written again as a whole.
 *
 * @param knownHeads heads that were kept elsewhere, and that the chains have to agree with.
 * @param settleMillis age, counted back from the newest record, up to which records that only a peer has seen count as
 * not stored yet instead of missing; 0 for an account that nobody writes any more.
 */
public suspend fun verifyAccount(
    source: SegmentSource,
    knownHeads: List<AccountEvent.PeerHead> = emptyList(),
    settleMillis: Long = 0,
): AccountReport {
    val findings = mutableListOf<AccountFinding>()
    val names = source.names()
    names.filter { chainOfSegment(it) == null }.forEach {
        findings += AccountFinding(FindingKind.FOREIGN, it, null, "its name is not that of a segment")
    }
    val namesByChain = names.filter { chainOfSegment(it) != null }.groupBy { chainOfSegment(it) }
    val witnesses = mutableListOf<Witness>()
    val changeHeads = sortedMapOf<Long, String>()
    val verifiers = mutableMapOf<ChainId, ChainVerifier>()
    namesByChain.forEach { (chain, segments) ->
        if (chain == null) return@forEach
        val verifier =
            ChainVerifier(chain, findings) { record ->
                when (val event = record.event) {
                    is AccountEvent.PeerHead -> witnesses += Witness(event, record.time.wallMillis)
                    is AccountEvent.ChangeHead -> noteChange(event, chain, record, changeHeads, findings)
                    else -> Unit
                }
            }
        verifiers[chain] = verifier
        verifyChain(source, segments.sorted(), verifier, findings)
    }
    val heads = witnesses.map { it.head } + knownHeads
    val agreed = compareHeads(source, namesByChain, heads, findings)
    val chains = verifiers.map { (chain, verifier) -> verifier.report(agreed[chain] ?: -1) }
    val settledBeforeMillis = (chains.maxOfOrNull { it.lastWallMillis } ?: 0) - settleMillis
    val (settled, recent) = witnesses.partition { it.wallMillis <= settledBeforeMillis }
    findings += missing(settled.map { it.head } + knownHeads, chains)
    return AccountReport(
        findings = findings.distinct(),
        chains = chains.sortedBy { it.chain.toString() },
        changeHeads = changeHeads,
        notStoredYet = missing(recent.map { it.head }, chains).map { "${it.place}: ${it.detail}" },
    )
}

/** Hash that a chain holds of another one since [wallMillis]. */
private class Witness(
    val head: AccountEvent.PeerHead,
    val wallMillis: Long,
)

private suspend fun verifyChain(
    source: SegmentSource,
    segments: List<String>,
    verifier: ChainVerifier,
    findings: MutableList<AccountFinding>,
) = segments.forEach { name ->
    val content = source.read(name)
    if (content == null) {
        findings += AccountFinding(FindingKind.UNREADABLE, name, null, "it cannot be fetched")
    } else {
        verifier.segment(name, content)
    }
}

private fun noteChange(
    event: AccountEvent.ChangeHead,
    chain: ChainId,
    record: AccountRecord,
    changeHeads: MutableMap<Long, String>,
    findings: MutableList<AccountFinding>,
) {
    val known = changeHeads.getOrPut(event.version) { event.hash }
    if (known != event.hash) {
        findings +=
            AccountFinding(FindingKind.REWRITTEN, chain.toString(), record.sequence, "change ${event.version} differs")
    }
}

/** Compares the hashes of [heads] with those of the chains; returns the last agreed sequence of each chain. */
private suspend fun compareHeads(
    source: SegmentSource,
    namesByChain: Map<ChainId?, List<String>>,
    heads: List<AccountEvent.PeerHead>,
    findings: MutableList<AccountFinding>,
): Map<ChainId, Long> {
    val agreed = mutableMapOf<ChainId, Long>()
    heads.groupBy { it.chain }.forEach { (chain, ofChain) ->
        val wanted = ofChain.groupBy { it.sequence }
        namesByChain[chain].orEmpty().forEach { name ->
            source.read(name)?.let(::hashesBySequence).orEmpty().forEach { (sequence, hash) ->
                wanted[sequence]?.forEach { head ->
                    if (head.hash == hash) agreed.merge(chain, sequence, ::maxOf) else findings += rewritten(head)
                }
            }
        }
    }
    return agreed
}

private fun rewritten(head: AccountEvent.PeerHead) =
    AccountFinding(
        FindingKind.REWRITTEN,
        head.chain.toString(),
        head.sequence,
        "a peer holds hash ${head.hash.take(SHOWN_DIGITS)}",
    )

private fun missing(
    heads: List<AccountEvent.PeerHead>,
    chains: List<ChainReport>,
): List<AccountFinding> =
    heads.groupBy { it.chain }.mapNotNull { (chain, ofChain) ->
        val seen = ofChain.maxOf { it.sequence }
        val report = chains.firstOrNull { it.chain == chain }
        when {
            report == null ->
                AccountFinding(FindingKind.MISSING_CHAIN, chain.toString(), 0, "a peer has seen record $seen")
            report.lastSequence < seen ->
                AccountFinding(
                    FindingKind.MISSING_TAIL,
                    chain.toString(),
                    report.lastSequence + 1,
                    "records ${report.lastSequence + 1} to $seen are not stored",
                )
            else -> null
        }
    }

private const val SHOWN_DIGITS = 16
