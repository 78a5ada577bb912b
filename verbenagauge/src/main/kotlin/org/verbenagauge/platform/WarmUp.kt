package org.verbenagauge.platform

private const val RUN_MILLIS = 1_500L

/**
 * Runs an entry without a platform for a moment, so that the classes of the start path are loaded. Listens on free ports
 * of the loopback interface only.
 */
public fun warmUp() {
    val listeners = ListenerAddresses(caller = "127.0.0.1:0", readiness = "127.0.0.1:0", peers = "127.0.0.1:0")
    val platform = PlatformAddresses(store = "127.0.0.1:9")
    val entry = PlatformEntry(PlatformEntrySettings(EntryIdentity("warm-up", "zone"), listeners, platform))
    entry.start()
    Thread.sleep(RUN_MILLIS)
    entry.stop()
}
