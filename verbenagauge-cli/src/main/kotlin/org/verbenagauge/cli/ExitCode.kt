package org.verbenagauge.cli

import org.verbenagauge.entry.STOP_TIMEOUT_EXIT_CODE

/** Exit codes of the command line, by kind of error. */
public enum class ExitCode(
    public val number: Int,
) {
    /** Done. */
    OK(0),

    /** The command line is wrong. */
    USAGE(2),

    /** Settings or a local file cannot be used. */
    SETTINGS(3),

    /** The operator key is refused or lacks a right. */
    REFUSED(4),

    /** The document has changed in between. */
    CONFLICT(5),

    /** The change or the document is not valid. */
    INVALID(6),

    /** The entry instance or the platform does not answer; nothing was changed. */
    UNAVAILABLE(7),

    /** Whether the change is stored is not known. */
    UNKNOWN(8),

    /** The account or the audit trail is damaged. */
    DAMAGED(9),

    /** A planned stop took too long and was cut off. */
    STOP_TIMEOUT(STOP_TIMEOUT_EXIT_CODE),
}
