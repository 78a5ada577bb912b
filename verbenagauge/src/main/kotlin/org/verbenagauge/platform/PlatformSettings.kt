package org.verbenagauge.platform

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.jobs.fleet.DEFAULT_ORDERS_PER_SECOND
import org.verbenagauge.entry.load.LoadSettings
import org.verbenagauge.entry.settings.TomlOutcome
import org.verbenagauge.entry.settings.readSettingsText
import org.verbenagauge.entry.settings.readToml
import java.io.IOException
import java.nio.file.Path

/**
 * Settings of an entry on the platform, read from TOML.
 *
 * @property entry identity of this entry.
 * @property listeners addresses that this entry listens at.
 * @property platform services of the platform.
 * @property limits bounds that the deployment gives.
 * @property load decisions under load that are switched on.
 */
@Serializable
public data class PlatformEntrySettings(
    val entry: EntryIdentity,
    val listeners: ListenerAddresses,
    val platform: PlatformAddresses,
    val limits: DeploymentLimits = DeploymentLimits(),
    val load: LoadSettings = LoadSettings(),
)

/**
 * Identity of an entry.
 *
 * @property id name, unique over the fleet.
 * @property zoneId availability zone.
 */
@Serializable
public data class EntryIdentity(
    val id: String,
    val zoneId: String,
)

/**
 * Addresses of listeners, each written as host:port.
 *
 * @property caller for callers.
 * @property readiness for the balancer.
 * @property peers for other entries; empty for none.
 * @property metrics for metrics; empty for none.
 */
@Serializable
public data class ListenerAddresses(
    val caller: String,
    val readiness: String,
    val peers: String = "",
    val metrics: String = "",
)

/**
 * Addresses of the platform's services, each written as host:port.
 *
 * @property store store.
 * @property machines machines; empty when there are none to manage.
 * @property advisor advice on placement; empty for none.
 */
@Serializable
public data class PlatformAddresses(
    val store: String,
    val machines: String = "",
    val advisor: String = "",
)

/**
 * Bounds of the deployment.
 *
 * @property leaseMaxMillis longest lease that workers grant.
 * @property stopMillis time from the signal to stop until the process is killed.
 * @property processorShare share of a processor core that the process gets, as a number in text.
 * @property processorSpeed speed of that core beside the usual one, as a number in text.
 * @property machineOrdersPerSecond orders to machines that the platform takes from all entries, as a number in text.
 */
@Serializable
public data class DeploymentLimits(
    val leaseMaxMillis: Long = 6_000,
    val stopMillis: Long = 6_000,
    val processorShare: String = "1",
    val processorSpeed: String = "1",
    val machineOrdersPerSecond: String = "",
) {
    /** Orders to machines that the platform takes from all entries in a second. */
    val machineOrders: Double get() = machineOrdersPerSecond.toDoubleOrNull() ?: DEFAULT_ORDERS_PER_SECOND

    /** Processor that the process gets, in usual cores. */
    val cores: Double get() = (processorShare.toDoubleOrNull() ?: 1.0) * (processorSpeed.toDoubleOrNull() ?: 1.0)
}

/** Outcome of reading settings of an entry on the platform. */
public sealed interface PlatformSettingsOutcome {
    /** Usable. */
    public data class Valid(
        val settings: PlatformEntrySettings,
    ) : PlatformSettingsOutcome

    /** Not usable; [problem] names file, field and what to write. */
    public data class Invalid(
        val problem: String,
    ) : PlatformSettingsOutcome
}

// A day.
private const val MAX_MILLIS = 86_400_000L
private const val MAX_NUMBER = 1_000_000.0

/** Reads and checks the settings in [file]. */
public fun readPlatformSettings(file: Path): PlatformSettingsOutcome =
    try {
        parsePlatformSettings(readSettingsText(file), file.toString())
    } catch (e: IOException) {
        PlatformSettingsOutcome.Invalid("$file: cannot be read: ${e.message}")
    }

/** Reads and checks settings from [text]; [fileName] is used in messages. */
public fun parsePlatformSettings(
    text: String,
    fileName: String,
): PlatformSettingsOutcome {
    val settings =
        when (val read = readToml(text, PlatformEntrySettings.serializer())) {
            is TomlOutcome.Problem -> return PlatformSettingsOutcome.Invalid("$fileName: ${read.text}")
            is TomlOutcome.Read -> read.value
        }
    val valueProblem = valueProblem(settings) ?: return PlatformSettingsOutcome.Valid(settings)
    return PlatformSettingsOutcome.Invalid("$fileName: $valueProblem")
}

private fun valueProblem(settings: PlatformEntrySettings): String? =
    listOfNotNull(
        "entry.id: write a name that is unique over the fleet".takeIf { settings.entry.id.isBlank() },
        addressProblem("listeners.caller", settings.listeners.caller),
        addressProblem("listeners.readiness", settings.listeners.readiness),
        optionalAddressProblem("listeners.peers", settings.listeners.peers),
        optionalAddressProblem("listeners.metrics", settings.listeners.metrics),
        addressProblem("platform.store", settings.platform.store),
        optionalAddressProblem("platform.machines", settings.platform.machines),
        optionalAddressProblem("platform.advisor", settings.platform.advisor),
        timeProblem("limits.leaseMaxMillis", settings.limits.leaseMaxMillis),
        timeProblem("limits.stopMillis", settings.limits.stopMillis),
        numberProblem("limits.processorShare", settings.limits.processorShare),
        numberProblem("limits.processorSpeed", settings.limits.processorSpeed),
        numberProblem("limits.machineOrdersPerSecond", settings.limits.machineOrdersPerSecond),
    ).firstOrNull()

private fun timeProblem(
    field: String,
    millis: Long,
): String? = "$field: write a number of at least 1 and at most $MAX_MILLIS".takeIf { millis !in 1..MAX_MILLIS }

private fun numberProblem(
    field: String,
    text: String,
): String? {
    // A template leaves out what the platform does not tell.
    val isUsable = text.isEmpty() || text.toDoubleOrNull()?.let { it > 0 && it <= MAX_NUMBER } ?: false
    return if (isUsable) null else "$field: write a number above 0 and up to a million as text, such as \"0.75\""
}

private fun addressProblem(
    field: String,
    text: String,
): String? = "$field: write an address as host:port, such as \"10.0.0.1:8080\"".takeIf { parseHostPort(text) == null }

private fun optionalAddressProblem(
    field: String,
    text: String,
): String? = if (text.isEmpty()) null else addressProblem(field, text)
