package org.verbenagauge.entry.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Edit of the document. */
@Serializable
public sealed interface ConfigurationEdit : Edit {
    /** Replaces the whole document. */
    @Serializable
    @SerialName("replace-configuration")
    public data class Replace(
        val configuration: Configuration,
    ) : ConfigurationEdit
}

/** Returns the document after [edit]; it is not checked yet. */
internal fun Configuration.edited(edit: ConfigurationEdit): Configuration =
    when (edit) {
        is ConfigurationEdit.Replace -> edit.configuration
    }
