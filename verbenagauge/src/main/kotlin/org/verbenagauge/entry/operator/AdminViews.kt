package org.verbenagauge.entry.operator

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.WaveCommand

/**
 * The document and its version.
 *
 * @property version version of the last change of the document.
 * @property document document.
 */
@Serializable
public data class DocumentView(
    val version: Long,
    val document: Configuration,
)

/**
 * Answer to an accepted change.
 *
 * @property version version that the change made.
 */
@Serializable
public data class AcceptedView(
    val version: Long,
)

/**
 * Answer to a preview.
 *
 * @property documentVersion version of the document that the preview is based on.
 * @property difference fields that would change.
 */
@Serializable
public data class PreviewView(
    val documentVersion: Long,
    val difference: List<FieldDifference>,
)

/**
 * Request for a key.
 *
 * @property id name of the key.
 */
@Serializable
public data class KeyRequest(
    val id: String,
)

/**
 * A key that was granted; it is shown once.
 *
 * @property version version that the grant made.
 * @property teamId team.
 * @property keyId name of the key.
 * @property key the key.
 */
@Serializable
public data class GrantedKey(
    val version: Long,
    val teamId: String,
    val keyId: String,
    val key: String,
)

/**
 * Part of the audit trail.
 *
 * @property changes changes, oldest first.
 */
@Serializable
public data class AuditView(
    val changes: List<ChangeView>,
)

/**
 * What an operator wants of a wave.
 *
 * @property command command.
 */
@Serializable
public data class WaveCommandRequest(
    val command: WaveCommand,
)
