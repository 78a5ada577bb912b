package org.verbenagauge.cli

/** Exit codes of the command line, by kind of error. */
public enum class ExitCode(
    public val number: Int,
) {
    OK(0),
    USAGE(2),
    SETTINGS(3),
    UNAVAILABLE(4),
}
