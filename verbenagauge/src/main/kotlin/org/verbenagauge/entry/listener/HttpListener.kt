package org.verbenagauge.entry.listener

import io.ktor.server.application.Application
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty

private const val SHUTDOWN_HOOK_PROPERTY = "io.ktor.server.engine.ShutdownHook"
private const val MAX_HEADER_BYTES = 16 * 1_024
private const val REQUEST_READ_TIMEOUT_SECONDS = 60

/**
 * Address and identity of an HTTP listener.
 *
 * @property host IP number.
 * @property port TCP port; 0 takes a free one.
 * @property tls certificate and key, or null for plain HTTP.
 */
public data class ListenerAddress(
    val host: String,
    val port: Int,
    val tls: TlsIdentity? = null,
)

/** Creates an HTTP server at [address] that runs [module]. */
public fun httpListener(
    address: ListenerAddress,
    module: Application.() -> Unit,
): EmbeddedServer<*, *> {
    // The server's own hook closes it at SIGTERM, while requests are running.
    System.setProperty(SHUTDOWN_HOOK_PROPERTY, "false")
    return server(address, module)
}

private fun server(
    address: ListenerAddress,
    module: Application.() -> Unit,
): EmbeddedServer<*, *> =
    embeddedServer(
        Netty,
        configure = {
            connector {
                host = address.host
                port = address.port
            }
            maxHeaderSize = MAX_HEADER_BYTES
            requestReadTimeoutSeconds = REQUEST_READ_TIMEOUT_SECONDS
            channelPipelineConfig = {
                address.tls?.let { tls -> addFirst("tls", tls.newHandler(channel().alloc())) }
            }
        },
        module = module,
    )
