package org.verbenagauge.entry.operator.console

import kotlinx.html.FlowContent
import kotlinx.html.HTML
import kotlinx.html.a
import kotlinx.html.p
import kotlinx.html.table
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.tr
import kotlinx.html.unsafe
import org.verbenagauge.entry.operator.StatusView
import org.verbenagauge.entry.state.document.Configuration
import java.net.URLEncoder
import java.util.Locale

private const val PLOT_WIDTH = 400
private const val BAR_HEIGHT = 22
private const val LABEL_WIDTH = 140
private const val PERCENT = 100

/** One bar of a plot: [used] and [limit] in the same unit. */
internal class Bar(
    val label: String,
    val used: Double,
    val limit: Double,
)

/** Returns bars as SVG: used part filled, limit as a line. */
internal fun barPlot(bars: List<Bar>): String {
    val largest = bars.maxOfOrNull { maxOf(it.used, it.limit) }?.takeIf { it > 0 } ?: 1.0
    val scale = (PLOT_WIDTH - LABEL_WIDTH - 10) / largest
    val rows =
        bars.mapIndexed { index, bar ->
            val top = index * BAR_HEIGHT
            val used = number(bar.used * scale)
            val limit = number(LABEL_WIDTH + bar.limit * scale)
            val colour = if (bar.used > bar.limit) "#a00" else "#287"
            "<text x=\"0\" y=\"${top + 15}\" font-size=\"12\">${escaped(bar.label)}</text>" +
                "<rect x=\"$LABEL_WIDTH\" y=\"${top + 4}\" width=\"$used\" height=\"14\" fill=\"$colour\"/>" +
                "<line x1=\"$limit\" x2=\"$limit\" y1=\"${top + 1}\" y2=\"${top + 20}\" stroke=\"#000\" stroke-width=\"2\"/>"
        }
    val height = maxOf(1, bars.size) * BAR_HEIGHT
    return "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 $PLOT_WIDTH $height\" role=\"img\">" +
        rows.joinToString("") + "</svg>"
}

/** Shows the state of the fleet. */
internal fun HTML.statusPage(
    status: StatusView,
    operatorId: String,
) = page("State of the fleet", operatorId) {
    p {
        +"Entry ${status.entryId} holds version ${status.version}; the document is at ${status.documentVersion}; "
        +"version ${status.inForceVersion} is in force everywhere."
    }
    section("Pools against their budgets") {
        plot(status.pools.map { Bar("${it.id} ${it.away}/${it.maxAway}", it.away.toDouble(), it.maxAway.toDouble()) })
        rows(
            listOf("pool", "instances", "away", "may be away"),
            status.pools.map { listOf(it.id, "${it.instances}", "${it.away}", "${it.maxAway}") },
        )
    }
    section("Waves") {
        rows(
            listOf("wave", "command", "done", "out", "held by"),
            status.waves.map {
                listOf(it.id, it.command.name.lowercase(), "${it.finished} of ${it.total}", "${it.out}", it.hold ?: "")
            },
        )
        formLink("wave", "", "start a wave")
        status.waves.forEach { formLink("wave-command", it.id, "command ${it.id}") }
    }
    section("Teams in the last minute, as this entry saw them") {
        plot(status.teams.map { Bar(it.id, it.usedPart, it.entitledPart) })
        rows(
            listOf("team", "limit", "running here (mean)", "requests", "part of the run time", "part by share"),
            status.teams.map {
                listOf(
                    it.id,
                    "${it.maxRunning}",
                    number(it.meanRunning),
                    "${it.answered}",
                    "${number(it.usedPart * PERCENT)} %",
                    "${number(it.entitledPart * PERCENT)} %",
                )
            },
        )
    }
    section("Entry instances") {
        rows(
            listOf("entry", "availability zone", "region"),
            status.entries.map { listOf(it.id, it.zoneId, it.regionId) },
        )
    }
}

/** Shows the document with links to its forms. */
internal fun HTML.documentPage(
    configuration: Configuration,
    version: Long,
    operatorId: String,
) = page("Document, version $version", operatorId) {
    things("pool", configuration.pools.map { it.id })
    things("queue", configuration.queues.map { it.id })
    things("team", configuration.teams.map { it.id })
    section("Keys") {
        configuration.teams.forEach { team ->
            p {
                +"${team.id}: "
                formLink("key", team.id, "grant a key")
                team.keys.forEach { formLink("withdraw-key", "${team.id}/${it.id}", "withdraw ${it.id}") }
            }
        }
    }
    things("operator", configuration.operators.map { it.id })
    things("wave", configuration.waves.map { it.id })
}

private fun FlowContent.things(
    kind: String,
    ids: List<String>,
) = section("${kind.replaceFirstChar { it.uppercase() }}s") {
    ids.forEach { id ->
        p {
            formLink(kind, id, id)
            formLink("remove-$kind", id, "remove")
        }
    }
    formLink(kind, "", "new $kind")
}

private fun FlowContent.formLink(
    form: String,
    id: String,
    text: String,
) {
    a("$CONSOLE_PATH/forms/$form?id=${URLEncoder.encode(id, Charsets.UTF_8)}") { +text }
    +" "
}

private fun FlowContent.plot(bars: List<Bar>) = p { unsafe { raw(barPlot(bars)) } }

private fun FlowContent.rows(
    headings: List<String>,
    rows: List<List<String>>,
) = table {
    tr { headings.forEach { th { +it } } }
    rows.forEach { row -> tr { row.forEach { td { +it } } } }
}

private fun number(value: Double): String = String.format(Locale.ROOT, "%.1f", value)

private fun escaped(text: String): String =
    text
        .replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;")
