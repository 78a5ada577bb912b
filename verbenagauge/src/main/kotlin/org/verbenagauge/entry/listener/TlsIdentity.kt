package org.verbenagauge.entry.listener

import io.netty.buffer.ByteBufAllocator
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import io.netty.handler.ssl.SslHandler
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import javax.net.ssl.SSLException

private val protocols = listOf("TLSv1.3", "TLSv1.2")

/** Outcome of reading the PEM files of a listener. */
public sealed interface TlsOutcome {
    /** The files are as they were. */
    public data object Unchanged : TlsOutcome

    /** New connections use the files as they are now. */
    public data object Loaded : TlsOutcome

    /** The files cannot be used, for [problem]; new connections use the last ones that could. */
    public data class Invalid(
        val problem: String,
    ) : TlsOutcome
}

/** Certificate and private key of a listener. */
public class TlsIdentity(
    private val settings: TlsSettings,
) {
    @Volatile private var context: SslContext? = null

    private var stamps: List<FileTime>? = null

    /** Reads the files when they have changed since the last call. */
    public fun load(): TlsOutcome =
        try {
            val current = files().map { Files.getLastModifiedTime(it) }
            if (current == stamps) TlsOutcome.Unchanged else loadAt(current)
        } catch (e: IOException) {
            TlsOutcome.Invalid("${settings.certificateFile}, ${settings.privateKeyFile}: cannot be read: $e")
        }

    /** Returns a handler for one connection. */
    internal fun newHandler(allocator: ByteBufAllocator): SslHandler =
        checkNotNull(context) { "no certificate has been loaded from ${settings.certificateFile}" }
            .newHandler(allocator)

    private fun loadAt(current: List<FileTime>): TlsOutcome {
        val (certificate, privateKey) = files().map { it.toFile() }
        return try {
            context = SslContextBuilder.forServer(certificate, privateKey).protocols(protocols).build()
            stamps = current
            TlsOutcome.Loaded
        } catch (e: IllegalArgumentException) {
            invalid(e)
        } catch (e: SSLException) {
            invalid(e)
        }
    }

    private fun invalid(cause: Exception) =
        TlsOutcome.Invalid(
            "${settings.certificateFile}, ${settings.privateKeyFile}: write a PEM certificate chain and its " +
                "private key in PKCS #8 form: ${cause.message}",
        )

    private fun files() = listOf(Path.of(settings.certificateFile), Path.of(settings.privateKeyFile))
}
