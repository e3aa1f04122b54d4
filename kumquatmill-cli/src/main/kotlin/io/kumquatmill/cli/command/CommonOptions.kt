package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.output.OutputFormat
import io.kumquatmill.cli.settings.CliSettings
import io.kumquatmill.cli.settings.parseHostAddress
import io.kumquatmill.cli.settings.readCliSettings
import io.kumquatmill.common.fleet.HostAddress

/** Options of every command. Command-line options override environment variables, which override the INI file. */
internal class CommonOptions : OptionGroup(name = "Common options") {
    private val settingsFile by option("--settings", envvar = "KUMQUATCTL_SETTINGS", help = "INI file with the section [kumquatctl]").path()
    private val store by option("--store", metavar = "IP:PORT", envvar = "KUMQUATCTL_STORE", help = "Address of the key-value store")
    private val hosts by option("--host", metavar = "IP:PORT", help = "Query this host, even if the store is down; repeatable").multiple()
    private val output by option("--output", envvar = "KUMQUATCTL_OUTPUT", help = "Output format")
        .enum<OutputFormat> { it.name.lowercase() }
    private val callTimeoutMs by option(
        "--call-timeout-ms",
        envvar = "KUMQUATCTL_CALL_TIMEOUT_MS",
        help = "Timeout of a call to the store or a host",
    ).long().restrictTo(min = 1)

    /** Returns the effective options: those given, then the settings of the INI file, then the defaults. */
    fun resolve(): Either<CliError, ResolvedOptions> =
        either {
            val settings = settingsFile?.let { readCliSettings(it).bind() } ?: CliSettings()
            ResolvedOptions(
                store = store?.let { parseHostAddress(it).bind() } ?: settings.store,
                hosts = hosts.map { parseHostAddress(it).bind() },
                output = output ?: settings.output ?: OutputFormat.TABLE,
                callTimeoutMs = callTimeoutMs ?: settings.callTimeoutMs ?: DEFAULT_CALL_TIMEOUT_MS,
            )
        }

    private companion object {
        const val DEFAULT_CALL_TIMEOUT_MS = 2_000L
    }
}

/**
 * Effective options of one run of a command.
 *
 * @property store address of the key-value store, or null if none is set.
 * @property hosts hosts to query instead of those in the store; empty to read them from the store.
 * @property callTimeoutMs limit for a call to the store or a host.
 */
internal data class ResolvedOptions(
    val store: HostAddress?,
    val hosts: List<HostAddress>,
    val output: OutputFormat,
    val callTimeoutMs: Long,
) {
    /** Returns the address of the store, or a usage error if none is set. */
    fun requireStore(): Either<CliError, HostAddress> =
        store?.right() ?: CliError.Usage("no store address is set: give --store IP:PORT, KUMQUATCTL_STORE or a settings file").left()
}
