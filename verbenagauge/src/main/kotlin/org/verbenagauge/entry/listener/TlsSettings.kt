package org.verbenagauge.entry.listener

import kotlinx.serialization.Serializable

/**
 * PEM files of a listener; read again when they change.
 *
 * @property certificateFile certificate chain, the listener's own certificate first.
 * @property privateKeyFile private key in PKCS #8 form, without a password.
 */
@Serializable
public data class TlsSettings(
    val certificateFile: String,
    val privateKeyFile: String,
)
