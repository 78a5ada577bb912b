package org.verbenagauge.entry.settings

/** Outcome of reading settings. */
public sealed interface SettingsOutcome {
    /** The settings are valid. */
    public data class Valid(
        val settings: EntrySettings,
    ) : SettingsOutcome

    /** The settings are not valid; [problem] names file, field and what to write. */
    public data class Invalid(
        val problem: String,
    ) : SettingsOutcome
}
