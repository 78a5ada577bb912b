package org.verbenagauge.entry.state.force

/** Says whether this entry may still act on the configuration that it knows. */
public fun interface Freshness {
    /** Whether the configuration that this process knows is in force. */
    public fun isFresh(): Boolean
}
