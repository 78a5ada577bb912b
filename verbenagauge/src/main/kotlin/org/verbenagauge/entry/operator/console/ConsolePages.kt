package org.verbenagauge.entry.operator.console

import kotlinx.html.FlowContent
import kotlinx.html.FormMethod
import kotlinx.html.HTML
import kotlinx.html.a
import kotlinx.html.body
import kotlinx.html.div
import kotlinx.html.form
import kotlinx.html.h1
import kotlinx.html.h2
import kotlinx.html.head
import kotlinx.html.hiddenInput
import kotlinx.html.id
import kotlinx.html.label
import kotlinx.html.lang
import kotlinx.html.main
import kotlinx.html.meta
import kotlinx.html.nav
import kotlinx.html.option
import kotlinx.html.p
import kotlinx.html.passwordInput
import kotlinx.html.select
import kotlinx.html.style
import kotlinx.html.submitInput
import kotlinx.html.table
import kotlinx.html.td
import kotlinx.html.textInput
import kotlinx.html.th
import kotlinx.html.title
import kotlinx.html.tr
import kotlinx.html.unsafe
import org.verbenagauge.entry.operator.ChangeView
import org.verbenagauge.entry.operator.FieldDifference
import org.verbenagauge.entry.operator.FieldProblem
import java.security.MessageDigest
import java.time.Instant
import java.util.Base64

/** Path of the console. */
internal const val CONSOLE_PATH = "/console"

private const val STYLE =
    "body{font-family:sans-serif;margin:0 auto;max-width:60rem;padding:0 .7rem;line-height:1.4}" +
        "nav a{display:inline-block;padding:.5rem .7rem .5rem 0}" +
        "table{border-collapse:collapse;display:block;overflow-x:auto}" +
        "td,th{border-bottom:1px solid #bbb;padding:.3rem .8rem .3rem 0;text-align:left;vertical-align:top}" +
        "label{display:block;margin-top:.8rem}" +
        "input,select{font-size:1rem;padding:.4rem;width:100%;max-width:28rem;box-sizing:border-box}" +
        "input[type=submit]{width:auto;margin-top:1rem}" +
        ".problem{color:#a00;font-weight:bold}.key{font-family:monospace;word-break:break-all}" +
        "svg{width:100%;max-width:28rem;height:auto}"

private val styleHash =
    Base64.getEncoder().encodeToString(MessageDigest.getInstance("SHA-256").digest(STYLE.encodeToByteArray()))

/** Policy of every page: no script, no other site, only the style of this page. */
internal val contentSecurityPolicy =
    "default-src 'none'; style-src 'sha256-$styleHash'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'"

/** Lays out a page with [heading]; [operatorId] is the operator who signed in, or null. */
internal fun HTML.page(
    heading: String,
    operatorId: String?,
    content: FlowContent.() -> Unit,
) {
    lang = "en"
    head {
        meta(charset = "utf-8")
        meta(name = "viewport", content = "width=device-width, initial-scale=1")
        title("$heading - verbenagauge")
        style { unsafe { raw(STYLE) } }
    }
    body {
        if (operatorId != null) navigation(operatorId)
        main {
            h1 { +heading }
            content()
        }
    }
}

private fun FlowContent.navigation(operatorId: String) =
    nav {
        listOf("status", "document", "audit", "sign-out").forEach { a("$CONSOLE_PATH/$it") { +it } }
        +"signed in as $operatorId"
    }

/** Shows the form for signing in. */
internal fun HTML.signInPage(problem: String?) =
    page("Sign in", operatorId = null) {
        problemLine(problem)
        form("$CONSOLE_PATH/sign-in", method = FormMethod.post) {
            label {
                htmlFor = "key"
                +"Operator key"
            }
            passwordInput(name = "key") {
                id = "key"
                autoComplete = "current-password"
            }
            submitInput { value = "Sign in" }
        }
    }

/**
 * What a page with a form shows.
 *
 * @property form form.
 * @property values what was typed.
 * @property token token of the session.
 * @property version version of the document that the operator sees.
 * @property operationId identifies the change when it is sent twice.
 */
internal class FormPage(
    val form: ConsoleForm,
    val values: Map<String, String>,
    val token: String,
    val version: Long,
    val operationId: String,
)

/** Shows a form with what was typed, problems at their fields, and [changes] that others made in between. */
internal fun HTML.formPage(
    page: FormPage,
    operatorId: String,
    problems: List<FieldProblem> = emptyList(),
    changes: List<ChangeView> = emptyList(),
) = page(page.form.title, operatorId) {
    val names = page.form.fields.map { it.name }
    problems.filter { fieldNameOf(it) !in names }.forEach { problemLine("${it.field} ${it.message}".trim()) }
    if (changes.isNotEmpty()) {
        problemLine("Somebody else has changed the document since you opened this form. Look before you go on:")
        changeTable(changes)
    }
    form("$CONSOLE_PATH/forms/${page.form.name}", method = FormMethod.post) {
        hidden(page, step = "preview")
        page.form.fields.forEach { field ->
            input(field, page.values[field.name].orEmpty(), problems.filter { fieldNameOf(it) == field.name })
        }
        submitInput { value = "Show the difference" }
    }
}

/** Shows what a form would change, and asks for confirmation. */
internal fun HTML.confirmPage(
    page: FormPage,
    operatorId: String,
    difference: List<FieldDifference>,
) = page("${page.form.title}: confirm", operatorId) {
    if (difference.isEmpty()) {
        p { +"This changes nothing." }
        return@page
    }
    table {
        tr { listOf("field", "in force", "after").forEach { th { +it } } }
        difference.forEach {
            tr {
                td { +it.path }
                td { +(it.before ?: "(none)") }
                td { +(it.after ?: "(none)") }
            }
        }
    }
    form("$CONSOLE_PATH/forms/${page.form.name}", method = FormMethod.post) {
        hidden(page, step = "apply")
        page.form.fields.forEach { hiddenInput(name = it.name) { value = page.values[it.name].orEmpty() } }
        submitInput { value = "Accept" }
    }
}

/** Says that a change is accepted; [key] is shown here and never again. */
internal fun HTML.acceptedPage(
    operatorId: String,
    version: Long,
    key: String?,
) = page("Accepted", operatorId) {
    p { +"The change is stored as version $version; see 'audit' for when it is in force everywhere." }
    if (key != null) {
        p { +"The key is shown once. Copy it now:" }
        p("key") { +key }
    }
}

/** Shows changes, who made them and when. */
internal fun FlowContent.changeTable(changes: List<ChangeView>) =
    table {
        tr { listOf("version", "accepted", "in force everywhere", "author", "change").forEach { th { +it } } }
        changes.forEach { change ->
            tr {
                td { +"${change.version}" }
                td { +"${Instant.ofEpochMilli(change.acceptedAtWallMillis)}" }
                td { +(change.inForceAtWallMillis?.let { "${Instant.ofEpochMilli(it)}" } ?: "not seen yet") }
                td { +change.author }
                td { +change.edit }
            }
        }
    }

/** Shows [problem], if there is one. */
internal fun FlowContent.problemLine(problem: String?) {
    if (problem != null) p("problem") { +problem }
}

/** Shows a list of links to forms below [heading]. */
internal fun FlowContent.section(
    heading: String,
    content: FlowContent.() -> Unit,
) {
    h2 { +heading }
    div { content() }
}

private fun FlowContent.hidden(
    page: FormPage,
    step: String,
) {
    hiddenInput(name = "step") { value = step }
    hiddenInput(name = "token") { value = page.token }
    hiddenInput(name = "version") { value = page.version.toString() }
    hiddenInput(name = "operation") { value = page.operationId }
}

private fun FlowContent.input(
    field: FormField,
    typed: String,
    problems: List<FieldProblem>,
) {
    label {
        htmlFor = field.name
        +field.label
    }
    problems.forEach { problemLine("${field.name}: ${it.message}") }
    if (field.choices.isEmpty()) {
        textInput(name = field.name) {
            id = field.name
            value = typed
        }
    } else {
        select {
            name = field.name
            id = field.name
            field.choices.forEach {
                option {
                    value = it
                    selected = it == typed
                    +it
                }
            }
        }
    }
}

private fun fieldNameOf(problem: FieldProblem) = problem.field.substringAfterLast('.')
