package org.verbenagauge.entry.operator

import io.ktor.server.application.Application
import org.verbenagauge.entry.account.AccountStatus
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

/** Creates the routes of the administration API over [changes]. */
public fun administrationRoutes(
    changes: ChangeLog,
    table: TableService,
    inForceLog: InForceLog,
    freshness: Freshness,
    settings: AdministrationSettings,
    accountStatus: () -> AccountStatus,
    keyMint: KeyMint = secureKeyMint(),
): AdministrationRoutes {
    val bootstrapKeySha256 = settings.bootstrapKeySha256.ifEmpty { null }
    val administration = Administration(changes, AuditTrail(table), inForceLog, freshness, bootstrapKeySha256)
    return AdministrationRoutes { AdminApi(administration, keyMint, accountStatus).install(it) }
}
