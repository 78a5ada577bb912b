package org.verbenagauge.entry.operator

import io.ktor.server.application.Application
import org.verbenagauge.entry.account.AccountStatus
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.operator.console.Console
import org.verbenagauge.entry.operator.console.ConsoleSessions
import org.verbenagauge.entry.settings.AdministrationSettings
import org.verbenagauge.entry.state.force.Freshness
import org.verbenagauge.entry.state.log.AuditTrail
import org.verbenagauge.entry.state.log.ChangeLog
import org.verbenagauge.entry.state.log.InForceLog
import org.verbenagauge.entry.state.store.TableService

/** Installs everything that operators use. */
public fun interface AdministrationRoutes {
    /** Adds the routes to [application]. */
    public fun install(application: Application)
}

/**
 * Parts of the entry that administration uses.
 *
 * @property changes sequence of changes.
 * @property table table service, for past changes.
 * @property inForceLog when changes came in force everywhere.
 * @property freshness whether this entry may answer operators.
 * @property accountStatus what the account of this entry holds.
 * @property statusSource state of the fleet.
 * @property clock clock.
 * @property reporter logs and counts changes.
 */
public class AdministrationParts(
    public val changes: ChangeLog,
    public val table: TableService,
    public val inForceLog: InForceLog,
    public val freshness: Freshness,
    public val accountStatus: () -> AccountStatus,
    public val statusSource: StatusSource,
    public val clock: Clock,
    public val reporter: ChangeReporter,
)

/**
 * Creates the routes of the administration API and, when [settings] hold a session secret, of the console.
 *
 * @param overTls whether the listener speaks TLS, so that browsers may send sessions over TLS only.
 */
public fun administrationRoutes(
    parts: AdministrationParts,
    settings: AdministrationSettings,
    overTls: Boolean = false,
    keyMint: KeyMint = secureKeyMint(),
): AdministrationRoutes {
    val bootstrapKeySha256 = settings.bootstrapKeySha256.ifEmpty { null }
    val auditTrail = AuditTrail(parts.table)
    val administration =
        Administration(
            parts.changes,
            auditTrail,
            parts.inForceLog,
            parts.freshness,
            bootstrapKeySha256,
            parts.reporter,
        )
    val api = AdminApi(administration, keyMint, parts.accountStatus, parts.statusSource)
    val console =
        settings.sessionSecret
            .takeIf { it.isNotEmpty() }
            ?.let { ConsoleSessions(it, overTls) }
            ?.let { Console(administration, it, keyMint, parts.statusSource, parts.clock) }
    return AdministrationRoutes { application ->
        api.install(application)
        console?.install(application)
    }
}
