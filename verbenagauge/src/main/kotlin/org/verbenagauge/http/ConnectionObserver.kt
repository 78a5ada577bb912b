package org.verbenagauge.http

/** Told of each connection to other processes that is opened or closed here. */
internal interface ConnectionObserver {
    /** A connection was opened. */
    fun onOpened()

    /** A connection was closed by this process. */
    fun onClosed()
}

/** Observes nothing. */
internal object UnobservedConnections : ConnectionObserver {
    override fun onOpened() = Unit

    override fun onClosed() = Unit
}
