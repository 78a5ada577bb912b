package org.verbenagauge.entry.state.force

/** Says which version is in force on every entry instance that may still serve. */
public fun interface InForce {
    /**
     * Highest version such that every entry that may still act has it or a later one; an entry counts
     * until its confirmation has lapsed.
     */
    public fun versionInForceEverywhere(): Long
}
