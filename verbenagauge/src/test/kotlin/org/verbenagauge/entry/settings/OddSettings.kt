package org.verbenagauge.entry.settings

private const val DEPTH = 20_000

/** File of settings that nobody means. */
internal class OddSettings(
    val name: String,
    val bytes: ByteArray,
)

/** Files that differ from the valid settings [text] by one thing that no file should hold. */
internal fun oddSettings(text: String): List<OddSettings> =
    listOf(
        "a nested list" to "a = ${"[".repeat(DEPTH)}${"]".repeat(DEPTH)}",
        "a nested list that is never closed" to "a = ${"[".repeat(DEPTH)}",
        "nested tables in a line" to "a = ${"{a = ".repeat(DEPTH)}1${"}".repeat(DEPTH)}",
        "a key of many parts" to "${"a.".repeat(DEPTH)}a = 1",
        "a table of many parts" to "[${"a.".repeat(DEPTH)}a]\nb = 1",
        "nested tables in lists" to "[[${"a.".repeat(DEPTH)}a]]\nb = 1",
        "a key of many quotes" to "${"'a'.".repeat(DEPTH)}a = 1",
        "a list of another kind" to
            "[peers]\nhost = \"127.0.0.1\"\nport = 1\nsecret = \"${"x".repeat(32)}\"\nseeds = [1, 2]",
        "a number past any" to "a = ${"9".repeat(DEPTH)}",
        "a date that is none" to "a = 2026-99-99T99:99:99Z",
        "a long text" to "a = \"${"x".repeat(3_000_000)}\"",
        "many lines" to "a = 1\n".repeat(100_000),
    ).map { (name, line) -> OddSettings(name, "$text\n$line\n".encodeToByteArray()) } +
        OddSettings("no text", text.encodeToByteArray() + byteArrayOf(-1, -2, 0)) +
        OddSettings("nothing", ByteArray(0))
