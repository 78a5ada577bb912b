package org.verbenagauge.entry.operator.console

import org.verbenagauge.entry.state.document.OperatorAccount
import java.security.MessageDigest
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

private const val ALGORITHM = "HmacSHA256"
private const val COOKIE_PARTS = 3
private const val SEPARATOR = '.'

/**
 * Sessions of the console. No entry instance keeps any: the cookie names operator and end, sealed under the secret that
 * all entries share and the hash of the operator's key, so that withdrawing the key ends its sessions everywhere.
 *
 * @property overTls whether browsers may send the cookie over TLS only.
 */
internal class ConsoleSessions(
    secret: String,
    val overTls: Boolean,
) {
    private val key = SecretKeySpec(secret.encodeToByteArray(), ALGORITHM)

    /** Returns the cookie of a session of [operator] until [endWallMillis]. */
    fun issue(
        operator: OperatorAccount,
        endWallMillis: Long,
    ): String = "${operator.id}$SEPARATOR$endWallMillis$SEPARATOR${seal(operator, endWallMillis)}"

    /** Returns the operator of [cookie] at [wallMillis] among [operators], or null when the session is not valid. */
    fun operatorOf(
        cookie: String,
        operators: List<OperatorAccount>,
        wallMillis: Long,
    ): OperatorAccount? {
        val parts = cookie.split(SEPARATOR)
        if (parts.size != COOKIE_PARTS) return null
        val endWallMillis = parts[1].toLongOrNull() ?: return null
        if (endWallMillis <= wallMillis) return null
        val operator = operators.firstOrNull { it.id == parts[0] } ?: return null
        return operator.takeIf { same(parts[2], seal(operator, endWallMillis)) }
    }

    /** Returns the token that every form of the session [cookie] carries. */
    fun formToken(cookie: String): String = mac("form|$cookie")

    /** Whether [token] belongs to the session [cookie]. */
    fun isFormToken(
        token: String,
        cookie: String,
    ): Boolean = same(token, formToken(cookie))

    private fun seal(
        operator: OperatorAccount,
        endWallMillis: Long,
    ) = mac("session|${operator.id}|${operator.keySha256Hex}|$endWallMillis")

    private fun same(
        one: String,
        other: String,
    ) = MessageDigest.isEqual(one.encodeToByteArray(), other.encodeToByteArray())

    private fun mac(text: String): String {
        val mac = Mac.getInstance(ALGORITHM).also { it.init(key) }
        return HexFormat.of().formatHex(mac.doFinal(text.encodeToByteArray()))
    }
}
