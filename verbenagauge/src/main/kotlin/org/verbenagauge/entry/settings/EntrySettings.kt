package org.verbenagauge.entry.settings

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.listener.TlsSettings

/**
 * Settings of one entry instance, read from TOML.
 *
 * @property entry identity of this instance.
 * @property caller listener for callers.
 * @property operator listener for operators.
 * @property platform services of the platform.
 * @property limits bounds on everything that can grow.
 * @property peers other entries, or null for an entry that shares nothing but the table service with them.
 * @property administration who may administer before the document names an operator.
 */
@Serializable
public data class EntrySettings(
    val entry: IdentitySettings,
    val caller: ListenerSettings,
    val operator: ListenerSettings,
    val platform: PlatformSettings,
    val limits: LimitSettings = LimitSettings(),
    val peers: PeerSettings? = null,
    val administration: AdministrationSettings = AdministrationSettings(),
)

/**
 * Administration.
 *
 * @property bootstrapKeySha256 SHA-256 in hexadecimal digits of a key that may change everything while the document
 * names no operator who may change it; empty for none.
 * @property sessionSecret secret that all entries share and that protects sessions of the console; empty to turn the
 * console off.
 */
@Serializable
public data class AdministrationSettings(
    val bootstrapKeySha256: String = "",
    val sessionSecret: String = "",
)

/**
 * Identity of an entry instance.
 *
 * @property id name, unique over the fleet.
 * @property zoneId availability zone.
 * @property regionId region.
 * @property index position of this entry for the fixed split of rights, from 0.
 * @property count number of entries for the fixed split of rights.
 */
@Serializable
public data class IdentitySettings(
    val id: String,
    val zoneId: String,
    val regionId: String,
    val index: Int = 0,
    val count: Int = 1,
)

/**
 * Address of a listener.
 *
 * @property host IP number.
 * @property port TCP port; 0 takes a free one.
 * @property tls PEM files for TLS, or null for plain HTTP.
 */
@Serializable
public data class ListenerSettings(
    val host: String,
    val port: Int,
    val tls: TlsSettings? = null,
)

/**
 * Services of the platform.
 *
 * @property baseUrl address of the services.
 * @property timeoutMillis longest wait for one answer.
 * @property pollMillis interval between reads of the instance list.
 */
@Serializable
public data class PlatformSettings(
    val baseUrl: String,
    val timeoutMillis: Long = 1_000,
    val pollMillis: Long = 1_000,
)

/**
 * Bounds on everything that can grow.
 *
 * @property maxBodyBytes largest body of a request.
 * @property maxHeaderBytes names and values of all headers of a request together.
 * @property maxAnswerBytes largest answer of an endpoint.
 * @property maxJobs requests that the entry holds at once.
 * @property maxQueuedPerPool requests that wait at once for one pool.
 * @property connectTimeoutMillis longest time until a connection to an endpoint is open.
 * @property staleAfterMillis age of the last confirmation after which the configuration counts as stale; the same on
 * all entries.
 * @property stopTimeoutMillis longest planned stop.
 */
@Serializable
public data class LimitSettings(
    val maxBodyBytes: Long = 1_048_576,
    val maxHeaderBytes: Int = 8_192,
    val maxAnswerBytes: Long = 8_388_608,
    val maxJobs: Int = 10_000,
    val maxQueuedPerPool: Int = 5_000,
    val connectTimeoutMillis: Long = 500,
    val staleAfterMillis: Long = 2_000,
    val stopTimeoutMillis: Long = 60_000,
)
