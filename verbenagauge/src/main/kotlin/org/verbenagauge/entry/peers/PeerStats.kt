package org.verbenagauge.entry.peers

import java.util.concurrent.atomic.AtomicLong

/** Counts of the connections between entries; all functions may be called from any thread. */
public class PeerStats {
    /** Bytes of frames sent, with lengths and codes, without TCP/IP. */
    public val sentBytes: AtomicLong = AtomicLong()

    /** Bytes of frames received, with lengths and codes, without TCP/IP. */
    public val receivedBytes: AtomicLong = AtomicLong()

    /** Frames sent. */
    public val sentFrames: AtomicLong = AtomicLong()

    /** Frames received. */
    public val receivedFrames: AtomicLong = AtomicLong()

    /** Messages dropped because a queue was full or there was no connection. */
    public val droppedMessages: AtomicLong = AtomicLong()

    /** Frames that were not authentic, too large or could not be read. */
    public val refusedFrames: AtomicLong = AtomicLong()

    /** Connections opened and authenticated. */
    public val openedConnections: AtomicLong = AtomicLong()
}
