package org.verbenagauge.entry.listener

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.network.tls.certificates.buildKeyStore
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import java.io.File
import java.nio.file.Files
import java.nio.file.attribute.FileTime
import java.security.Key
import java.security.cert.X509Certificate
import java.util.Base64
import javax.net.ssl.SSLContext
import javax.net.ssl.SSLSocket
import javax.net.ssl.X509TrustManager

private const val HOST = "127.0.0.1"
private const val PASSWORD = "for-the-test"

class TlsIdentityTest :
    FunSpec({
        test("given a running TLS listener, when the PEM files change, then new connections get the new certificate") {
            val files = PemFiles(tempdir())
            val first = files.write(stampMillis = 1_000)
            val identity = TlsIdentity(files.settings)
            identity.load() shouldBe TlsOutcome.Loaded
            val server =
                httpListener(ListenerAddress(HOST, 0, identity)) {
                    routing { get("/") { call.respondText("served") } }
                }.start(wait = false)
            val port =
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port

            exchange(port) shouldBe Exchange(first, "served")
            identity.load() shouldBe TlsOutcome.Unchanged

            val second = files.write(stampMillis = 2_000)
            identity.load() shouldBe TlsOutcome.Loaded
            exchange(port) shouldBe Exchange(second, "served")

            files.spoil(stampMillis = 3_000)
            identity.load().shouldBeInstanceOf<TlsOutcome.Invalid>()
            exchange(port) shouldBe Exchange(second, "served")

            val third = files.write(stampMillis = 4_000)
            identity.load() shouldBe TlsOutcome.Loaded
            exchange(port) shouldBe Exchange(third, "served")
            server.stop(0, 0)
        }

        test("given a missing PEM file, when loaded, then the problem names the file") {
            val settings = TlsSettings("missing-certificate.pem", "missing-key.pem")
            val outcome = TlsIdentity(settings).load().shouldBeInstanceOf<TlsOutcome.Invalid>()
            outcome.problem.startsWith("missing-certificate.pem, missing-key.pem: cannot be read") shouldBe true
        }
    })

private data class Exchange(
    val certificate: X509Certificate,
    val body: String,
)

private class PemFiles(
    directory: File,
) {
    private val certificateFile = File(directory, "certificate.pem")
    private val keyFile = File(directory, "key.pem")
    val settings = TlsSettings(certificateFile.path, keyFile.path)

    fun write(stampMillis: Long): X509Certificate {
        val store = buildKeyStore { certificate("listener") { password = PASSWORD } }
        val certificate = store.getCertificate("listener") as X509Certificate
        val key: Key = store.getKey("listener", PASSWORD.toCharArray())
        certificateFile.writeText(pem("CERTIFICATE", certificate.encoded))
        keyFile.writeText(pem("PRIVATE KEY", key.encoded))
        stamp(stampMillis)
        return certificate
    }

    fun spoil(stampMillis: Long) {
        certificateFile.writeText("not a certificate")
        stamp(stampMillis)
    }

    private fun stamp(millis: Long) {
        Files.setLastModifiedTime(certificateFile.toPath(), FileTime.fromMillis(millis))
    }

    private fun pem(
        label: String,
        content: ByteArray,
    ): String {
        val body = Base64.getMimeEncoder(64, byteArrayOf('\n'.code.toByte())).encodeToString(content)
        return "-----BEGIN $label-----\n$body\n-----END $label-----\n"
    }
}

private fun exchange(port: Int): Exchange {
    val context = SSLContext.getInstance("TLS")
    context.init(null, arrayOf(TrustEveryone), null)
    val socket = context.socketFactory.createSocket(HOST, port) as SSLSocket
    return socket.use {
        it.startHandshake()
        it.outputStream.write("GET / HTTP/1.1\r\nHost: $HOST\r\nConnection: close\r\n\r\n".encodeToByteArray())
        val answer = it.inputStream.readBytes().decodeToString()
        Exchange(it.session.peerCertificates.first() as X509Certificate, answer.substringAfter("\r\n\r\n"))
    }
}

private object TrustEveryone : X509TrustManager {
    override fun checkClientTrusted(
        chain: Array<out X509Certificate>,
        authType: String,
    ) = Unit

    override fun checkServerTrusted(
        chain: Array<out X509Certificate>,
        authType: String,
    ) = Unit

    override fun getAcceptedIssuers(): Array<X509Certificate> = emptyArray()
}
