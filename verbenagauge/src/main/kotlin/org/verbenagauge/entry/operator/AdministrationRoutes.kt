package org.verbenagauge.entry.operator

import io.ktor.server.application.Application
import org.verbenagauge.entry.account.AccountStatus
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.operator.console.Console
import org.verbenagauge.entry.operator.console.ConsoleSessions
import org.verbenagauge.entry.settings.AdministrationSettings
import org.verbenagauge.entry.state.AuditTrail
import org.verbenagauge.entry.state.ChangeLog
import org.verbenagauge.entry.state.Freshness
import org.verbenagauge.entry.state.InForceLog
import org.verbenagauge.entry.state.TableService

/** Installs everything that operators use. */
public fun interface AdministrationRoutes {
    /** Adds the routes to [application]. */
    public fun install(application: Application)
}

/** Creates the routes of the administration API and, when the settings hold a session secret, of the console. */
public fun administrationRoutes(
    changes: ChangeLog,
    table: TableService,
    inForceLog: InForceLog,
    freshness: Freshness,
    settings: AdministrationSettings,
    accountStatus: () -> AccountStatus,
    statusSource: StatusSource,
    clock: Clock,
    keyMint: KeyMint = secureKeyMint(),
): AdministrationRoutes {
    val bootstrapKeySha256 = settings.bootstrapKeySha256.ifEmpty { null }
    val administration = Administration(changes, AuditTrail(table), inForceLog, freshness, bootstrapKeySha256)
    val api = AdminApi(administration, keyMint, accountStatus, statusSource)
    val console =
        settings.sessionSecret
            .takeIf { it.isNotEmpty() }
            ?.let { Console(administration, ConsoleSessions(it), keyMint, statusSource, clock) }
    return AdministrationRoutes { application ->
        api.install(application)
        console?.install(application)
    }
}
