package org.verbenagauge.entry.operator

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.serialization.KSerializer
import org.verbenagauge.entry.account.AccountStatus
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.OperatorAccount
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.Team
import org.verbenagauge.entry.state.document.TeamKey
import org.verbenagauge.entry.state.document.Wave
import org.verbenagauge.entry.state.store.ReadOutcome

private const val MAX_DOCUMENT_BYTES = 4_194_304L
private const val MAX_BODY_BYTES = 65_536L
private const val MAX_AUDIT_ROWS = 500
private const val DEFAULT_AUDIT_ROWS = 100

/** Routes of the administration API below `/v1/admin`. */
internal class AdminApi(
    private val administration: Administration,
    private val keyMint: KeyMint,
    private val accountStatus: () -> AccountStatus,
    private val statusSource: StatusSource,
) {
    fun install(application: Application) {
        application.routing {
            route("/v1/admin") {
                documentRoutes()
                thing("pools", Pool.serializer(), Pool::id, ConfigurationEdit::PutPool, ConfigurationEdit::RemovePool)
                thing("teams", Team.serializer(), Team::id, ConfigurationEdit::PutTeam, ConfigurationEdit::RemoveTeam)
                thing(
                    "queues",
                    Queue.serializer(),
                    Queue::id,
                    ConfigurationEdit::PutQueue,
                    ConfigurationEdit::RemoveQueue,
                )
                thing(
                    "operators",
                    OperatorAccount.serializer(),
                    OperatorAccount::id,
                    ConfigurationEdit::PutOperator,
                    ConfigurationEdit::RemoveOperator,
                )
                thing("waves", Wave.serializer(), Wave::id, ConfigurationEdit::PutWave, ConfigurationEdit::RemoveWave)
                waveCommandRoute()
                keyRoutes()
                auditRoute()
                get("status") {
                    call.authorized { call.respondJson(StatusView.serializer(), statusSource.status()) }
                }
                get("account") {
                    call.authorized { call.respondJson(AccountStatus.serializer(), accountStatus()) }
                }
                route("{...}") { handle { call.authorized { call.notFound() } } }
            }
        }
    }

    private fun Route.documentRoutes() {
        get("document") {
            call.authorized {
                val state = administration.state
                call.response.header(HttpHeaders.ETag, "\"${state.configurationVersion}\"")
                val view = DocumentView(state.configurationVersion, state.configuration)
                call.respondJson(DocumentView.serializer(), view)
            }
        }
        put("document") {
            call.authorized { operator ->
                call.withBody(Configuration.serializer(), MAX_DOCUMENT_BYTES) {
                    call.change(operator, ConfigurationEdit.Replace(it))
                }
            }
        }
    }

    private fun <T> Route.thing(
        kind: String,
        serializer: KSerializer<T>,
        idOf: (T) -> String,
        put: (T) -> ConfigurationEdit,
        remove: (String) -> ConfigurationEdit,
    ) {
        put("$kind/{id}") {
            call.authorized { operator ->
                call.withBody(serializer, MAX_BODY_BYTES) { item ->
                    if (idOf(item) == call.id()) {
                        call.change(operator, put(item))
                    } else {
                        val error = FieldProblem("id", "must be '${call.id()}' as in the path")
                        call.respondProblem(problem(ProblemKind.INVALID, "id: ${error.message}", listOf(error)))
                    }
                }
            }
        }
        delete("$kind/{id}") { call.authorized { call.change(it, remove(call.id())) } }
    }

    private fun Route.keyRoutes() {
        post("teams/{id}/keys") {
            call.authorized { operator ->
                call.withBody(KeyRequest.serializer(), MAX_BODY_BYTES) { call.grant(operator, it.id) }
            }
        }
        delete("teams/{id}/keys/{keyId}") {
            call.authorized { operator ->
                val edit = ConfigurationEdit.WithdrawKey(call.id(), call.parameters["keyId"].orEmpty())
                call.change(operator, edit, anyVersionAllowed = true)
            }
        }
    }

    private fun Route.waveCommandRoute() {
        put("waves/{id}/command") {
            call.authorized { operator ->
                call.withBody(WaveCommandRequest.serializer(), MAX_BODY_BYTES) {
                    call.change(
                        operator,
                        ConfigurationEdit.CommandWave(call.id(), it.command),
                        anyVersionAllowed = true,
                    )
                }
            }
        }
    }

    private fun Route.auditRoute() {
        get("audit") {
            call.authorized {
                val after = call.request.queryParameters["after"] ?: "0"
                val limit = call.request.queryParameters["limit"] ?: DEFAULT_AUDIT_ROWS.toString()
                val afterVersion = after.toLongOrNull()?.takeIf { it >= 0 }
                val rows = limit.toIntOrNull()?.takeIf { it in 1..MAX_AUDIT_ROWS }
                if (afterVersion == null || rows == null) {
                    call.respondProblem(
                        problem(ProblemKind.MALFORMED, "after: a version; limit: a number from 1 to $MAX_AUDIT_ROWS"),
                    )
                } else {
                    call.respondAudit(afterVersion, rows)
                }
            }
        }
    }

    private suspend fun ApplicationCall.respondAudit(
        afterVersion: Long,
        rows: Int,
    ) = when (val read = administration.audit(afterVersion, rows)) {
        is ReadOutcome.Unavailable -> respondProblem(problem(ProblemKind.STORE_UNAVAILABLE, read.cause))
        is ReadOutcome.Found -> respondJson(AuditView.serializer(), AuditView(read.value))
    }

    private suspend fun ApplicationCall.grant(
        operator: OperatorAccount,
        keyId: String,
    ) {
        val key = keyMint.draw()
        val edit = ConfigurationEdit.GrantKey(id(), TeamKey(keyId, sha256Hex(key)))
        change(operator, edit, anyVersionAllowed = true) { version ->
            if (administration.holdsKey(edit.key.sha256Hex)) {
                respondJson(GrantedKey.serializer(), GrantedKey(version, id(), keyId, key), HttpStatusCode.Created)
            } else {
                respondProblem(problem(ProblemKind.KEY_NOT_SHOWN, "key '$keyId' of team '${id()}'"))
            }
        }
    }

    private suspend fun ApplicationCall.change(
        operator: OperatorAccount,
        edit: ConfigurationEdit,
        anyVersionAllowed: Boolean = false,
        accepted: suspend (Long) -> Unit = { respondJson(AcceptedView.serializer(), AcceptedView(it)) },
    ) {
        val documentVersion =
            when (val condition = versionCondition()) {
                is VersionCondition.Exactly -> condition.version
                is VersionCondition.Malformed -> return respondProblem(problem(ProblemKind.MALFORMED, "If-Match"))
                is VersionCondition.Missing -> return respondProblem(problem(ProblemKind.VERSION_MISSING))
                is VersionCondition.Any ->
                    if (anyVersionAllowed) null else return respondProblem(problem(ProblemKind.VERSION_MISSING))
            }
        val operationId =
            operationId(operator)
                ?: return respondProblem(problem(ProblemKind.MALFORMED, "$IDEMPOTENCY_KEY_HEADER: 1 to 64 characters"))
        val request = ChangeRequest(operator, documentVersion, operationId, edit)
        val previewOnly = this.request.queryParameters["preview"] == "true"
        val outcome = if (previewOnly) administration.preview(request) else administration.change(request)
        val problem = problemOf(outcome)
        when {
            problem != null -> respondProblem(problem)
            outcome is AdminOutcome.Accepted -> accepted(outcome.version)
            outcome is AdminOutcome.Previewed ->
                respondJson(PreviewView.serializer(), PreviewView(outcome.documentVersion, outcome.difference))
        }
    }

    private suspend fun ApplicationCall.authorized(body: suspend (OperatorAccount) -> Unit) {
        if (!administration.isFresh()) return respondProblem(problem(ProblemKind.ENTRY_STALE))
        val operator = bearerOf(administration.operators())
        if (operator == null) respondProblem(problem(ProblemKind.KEY_REFUSED)) else body(operator)
    }

    private suspend fun <T> ApplicationCall.withBody(
        serializer: KSerializer<T>,
        maxBytes: Long,
        body: suspend (T) -> Unit,
    ) = when (val read = readBody(serializer, maxBytes)) {
        is BodyRead.Refused -> respondProblem(read.problem)
        is BodyRead.Read -> body(read.value)
    }

    private suspend fun ApplicationCall.notFound() =
        respondProblem(problem(ProblemKind.NOT_FOUND, "${request.local.method.value} ${request.local.uri}"))

    private fun ApplicationCall.id(): String = parameters["id"].orEmpty()
}
