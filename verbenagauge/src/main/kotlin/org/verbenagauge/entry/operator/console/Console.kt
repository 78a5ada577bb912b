package org.verbenagauge.entry.operator.console

import io.ktor.http.Cookie
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.URLDecodeException
import io.ktor.http.parseQueryString
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.html.respondHtml
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondRedirect
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import kotlinx.html.HTML
import kotlinx.html.p
import kotlinx.io.readByteArray
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.operator.AdminOutcome
import org.verbenagauge.entry.operator.Administration
import org.verbenagauge.entry.operator.ChangeRequest
import org.verbenagauge.entry.operator.FieldDifference
import org.verbenagauge.entry.operator.FieldProblem
import org.verbenagauge.entry.operator.KeyMint
import org.verbenagauge.entry.operator.ProblemKind
import org.verbenagauge.entry.operator.StatusSource
import org.verbenagauge.entry.operator.authorOf
import org.verbenagauge.entry.operator.fieldProblem
import org.verbenagauge.entry.operator.holderOf
import org.verbenagauge.entry.operator.problemOf
import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.document.OperatorAccount
import org.verbenagauge.entry.state.store.ReadOutcome
import java.util.UUID

private const val COOKIE_NAME = "verbenagauge-session"
private const val SESSION_MILLIS = 8L * 60 * 60 * 1_000
private const val MAX_FORM_BYTES = 65_536L
private const val MAX_FORM_FIELDS = 64
private const val AUDIT_ROWS = 100

/** Session of an operator who signed in. */
private class Session(
    val operator: OperatorAccount,
    val cookie: String,
)

/** Console of forms; every change goes through [Administration] as those of the API do. */
internal class Console(
    private val administration: Administration,
    private val sessions: ConsoleSessions,
    private val keyMint: KeyMint,
    private val statusSource: StatusSource,
    private val clock: Clock,
) {
    fun install(application: Application) {
        application.routing {
            route(CONSOLE_PATH) {
                get { call.respondRedirect("$CONSOLE_PATH/status") }
                signInRoutes()
                pageRoutes()
                get("forms/{form}") { call.signedIn { session -> call.openForm(session) } }
                post("forms/{form}") { call.signedIn { session -> call.submitForm(session) } }
            }
        }
    }

    private fun Route.signInRoutes() {
        get("sign-in") { call.respondPage { signInPage(null) } }
        post("sign-in") {
            val bytes = call.formBytes()
            val values = bytes?.let(::formValues)
            val operator = values?.get("key")?.let { administration.operators().holderOf(it) }
            when {
                !call.isSameSite() -> call.refuse(ProblemKind.CROSS_SITE)
                !administration.isFresh() -> call.refuse(ProblemKind.ENTRY_STALE)
                bytes == null -> call.refuse(ProblemKind.TOO_LARGE)
                values == null -> call.refuse(ProblemKind.MALFORMED)
                operator == null ->
                    call.respondPage(HttpStatusCode.Unauthorized) { signInPage("The key is not valid.") }
                else -> {
                    val cookie = sessions.issue(operator, clock.wallMillis() + SESSION_MILLIS)
                    call.setSession(cookie, (SESSION_MILLIS / 1_000).toInt())
                    call.respondRedirect("$CONSOLE_PATH/status")
                }
            }
        }
        get("sign-out") {
            call.setSession("", 0)
            call.respondRedirect("$CONSOLE_PATH/sign-in")
        }
    }

    private fun Route.pageRoutes() {
        get("status") {
            call.signedIn { call.respondPage { statusPage(statusSource.status(), it.operator.id) } }
        }
        get("document") {
            call.signedIn {
                val state = administration.state
                call.respondPage { documentPage(state.configuration, state.configurationVersion, it.operator.id) }
            }
        }
        get("audit") { call.signedIn { call.respondAudit(it) } }
    }

    private suspend fun ApplicationCall.respondAudit(session: Session) {
        val after = maxOf(0, administration.state.version - AUDIT_ROWS)
        when (val read = administration.audit(after, AUDIT_ROWS)) {
            is ReadOutcome.Unavailable -> refuse(ProblemKind.STORE_UNAVAILABLE)
            is ReadOutcome.Found ->
                respondPage { page("Audit trail", session.operator.id) { changeTable(read.value.reversed()) } }
        }
    }

    private suspend fun ApplicationCall.openForm(session: Session) {
        val form = form() ?: return refuse(ProblemKind.NOT_FOUND)
        val state = administration.state
        val values = form.valuesOf(state.configuration, request.queryParameters["id"].orEmpty())
        val page = formPage(form, values, session, state.configurationVersion)
        respondPage { formPage(page, session.operator.id) }
    }

    private suspend fun ApplicationCall.submitForm(session: Session) {
        val form = form() ?: return refuse(ProblemKind.NOT_FOUND)
        val bytes = formBytes() ?: return refuse(ProblemKind.TOO_LARGE)
        val values = formValues(bytes) ?: return refuse(ProblemKind.MALFORMED)
        val version = values["version"]?.toLongOrNull()
        val operationId = values["operation"].orEmpty()
        when {
            !isSameSite() || !sessions.isFormToken(values["token"].orEmpty(), session.cookie) ->
                refuse(ProblemKind.CROSS_SITE)
            version == null || !operationIdPattern.matches(operationId) -> refuse(ProblemKind.MALFORMED)
            else -> submit(FormPage(form, values, values.getValue("token"), version, operationId), session)
        }
    }

    private suspend fun ApplicationCall.submit(
        page: FormPage,
        session: Session,
    ) {
        val typed = FormValues(page.values)
        val key = if (page.form.grantsKey) keyMint.draw() else null
        val edit = page.form.editOf(typed, key?.let(::sha256Hex).orEmpty())
        if (typed.problems.isNotEmpty()) return respondInvalid(page, session, typed.problems)
        val isApply = page.values["step"] == "apply"
        val outcome = ask(page, session, edit, isApply)
        when (outcome) {
            is AdminOutcome.Previewed ->
                respondPage { confirmPage(page, session.operator.id, outcome.difference.withoutHashes()) }
            is AdminOutcome.Accepted -> respondAccepted(session, outcome.version, key)
            is AdminOutcome.Invalid -> respondInvalid(page, session, outcome.problems.map(::fieldProblem))
            is AdminOutcome.Conflict -> respondConflict(page, session, outcome)
            else -> respondProblem(outcome)
        }
    }

    private suspend fun ApplicationCall.respondAccepted(
        session: Session,
        version: Long,
        key: String?,
    ) {
        if (key != null && !administration.holdsKey(sha256Hex(key))) return refuse(ProblemKind.KEY_NOT_SHOWN)
        respondPage { acceptedPage(session.operator.id, version, key) }
    }

    private suspend fun ask(
        page: FormPage,
        session: Session,
        edit: ConfigurationEdit,
        isApply: Boolean,
    ): AdminOutcome {
        val operationId = "${authorOf(session.operator)}/${page.operationId}"
        val request = ChangeRequest(session.operator, page.version, operationId, edit)
        return if (isApply) administration.change(request) else administration.preview(request)
    }

    private suspend fun ApplicationCall.respondInvalid(
        page: FormPage,
        session: Session,
        problems: List<FieldProblem>,
    ) = respondPage(HttpStatusCode.UnprocessableEntity) { formPage(page, session.operator.id, problems) }

    private suspend fun ApplicationCall.respondConflict(
        page: FormPage,
        session: Session,
        conflict: AdminOutcome.Conflict,
    ) {
        val next = formPage(page.form, page.values, session, conflict.documentVersion)
        respondPage(HttpStatusCode.Conflict) { formPage(next, session.operator.id, changes = conflict.changes) }
    }

    private suspend fun ApplicationCall.respondProblem(outcome: AdminOutcome) {
        val problem = problemOf(outcome) ?: return
        respondPage(HttpStatusCode.fromValue(problem.status)) {
            page("Not done", operatorId = null) { problemLine("${problem.title} ${problem.detail.orEmpty()}") }
        }
    }

    private fun formPage(
        form: ConsoleForm,
        values: Map<String, String>,
        session: Session,
        version: Long,
    ) = FormPage(form, values, sessions.formToken(session.cookie), version, UUID.randomUUID().toString())

    private suspend fun ApplicationCall.signedIn(body: suspend (Session) -> Unit) {
        if (!administration.isFresh()) return refuse(ProblemKind.ENTRY_STALE)
        val cookie = sessionCookie()
        val operator = sessions.operatorOf(cookie, administration.operators(), clock.wallMillis())
        when {
            operator != null -> body(Session(operator, cookie))
            request.local.method.value == "GET" -> respondRedirect("$CONSOLE_PATH/sign-in")
            else -> respondPage(HttpStatusCode.Unauthorized) { signInPage("The session has ended; sign in again.") }
        }
    }

    private fun ApplicationCall.form(): ConsoleForm? = consoleForms.firstOrNull { it.name == parameters["form"] }

    // Browsers send at least one of these headers with a form of another site.
    private fun ApplicationCall.isSameSite(): Boolean {
        val origin = request.headers[HttpHeaders.Origin]
        val host = request.headers[HttpHeaders.Host]
        val sameOrigin = origin == null || origin.substringAfter("://") == host
        return sameOrigin && request.headers["Sec-Fetch-Site"] in listOf(null, "same-origin", "none")
    }

    private suspend fun ApplicationCall.formBytes(): ByteArray? {
        val bytes = receiveChannel().readRemaining(MAX_FORM_BYTES + 1).readByteArray()
        return bytes.takeIf { it.size <= MAX_FORM_BYTES }
    }

    private fun formValues(bytes: ByteArray): Map<String, String>? =
        decodedOrNull {
            val parameters = parseQueryString(bytes.decodeToString(), limit = MAX_FORM_FIELDS)
            parameters.names().associateWith { parameters[it].orEmpty() }
        }

    private fun ApplicationCall.sessionCookie(): String = decodedOrNull { request.cookies[COOKIE_NAME] }.orEmpty()

    private fun <T> decodedOrNull(decode: () -> T?): T? =
        try {
            decode()
        } catch (_: URLDecodeException) {
            null
        }

    private fun ApplicationCall.setSession(
        cookie: String,
        maxAgeSeconds: Int,
    ) = response.cookies.append(
        Cookie(
            name = COOKIE_NAME,
            value = cookie,
            maxAge = maxAgeSeconds,
            path = CONSOLE_PATH,
            httpOnly = true,
            secure = sessions.overTls,
            extensions = mapOf("SameSite" to "Strict"),
        ),
    )

    private suspend fun ApplicationCall.refuse(kind: ProblemKind) =
        respondPage(HttpStatusCode.fromValue(kind.httpStatus)) {
            page("Not done", operatorId = null) { p("problem") { +kind.title } }
        }

    private suspend fun ApplicationCall.respondPage(
        status: HttpStatusCode = HttpStatusCode.OK,
        content: HTML.() -> Unit,
    ) {
        response.header("Content-Security-Policy", contentSecurityPolicy)
        response.header("X-Content-Type-Options", "nosniff")
        response.header("Referrer-Policy", "same-origin")
        response.header(HttpHeaders.CacheControl, "no-store")
        respondHtml(status, content)
    }

    private companion object {
        val operationIdPattern = Regex("[A-Za-z0-9-]{1,64}")
    }
}

private fun List<FieldDifference>.withoutHashes() = filterNot { it.path.endsWith("ha256Hex") }
