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
import io.kumquatmill.cli.settings.parseAddress
import io.kumquatmill.cli.settings.readCliSettings
import io.kumquatmill.common.fleet.HostAddress

/** Options that each command takes; those of the command line go before the environment, and that before the INI file. */
internal class CommonOptions : OptionGroup(name = "Common options") {
    private val settingsFile by option("--settings", envvar = "KUMQUATCTL_SETTINGS", help = "INI file with the section [kumquatctl]").path()
    private val store by option("--store", metavar = "IP:PORT", envvar = "KUMQUATCTL_STORE", help = "Address of the key-value service")
    private val hosts by option("--host", metavar = "IP:PORT", help = "Ask this host; repeatable, for when the store is down").multiple()
    private val output by option("--output", envvar = "KUMQUATCTL_OUTPUT", help = "How to print the result")
        .enum<OutputFormat> { it.name.lowercase() }
    private val callTimeoutMs by option(
        "--call-timeout-ms",
        envvar = "KUMQUATCTL_CALL_TIMEOUT_MS",
        help = "Longest time that a call may take",
    ).long().restrictTo(min = 1)

    /** Returns the options, completed by the INI file and the defaults. */
    fun resolve(): Either<CliError, ResolvedOptions> =
        either {
            val settings = settingsFile?.let { readCliSettings(it).bind() } ?: CliSettings()
            ResolvedOptions(
                store = store?.let { parseAddress(it).bind() } ?: settings.store,
                hosts = hosts.map { parseAddress(it).bind() },
                output = output ?: settings.output ?: OutputFormat.TABLE,
                callTimeoutMs = callTimeoutMs ?: settings.callTimeoutMs ?: DEFAULT_CALL_TIMEOUT_MS,
            )
        }

    private companion object {
        const val DEFAULT_CALL_TIMEOUT_MS = 2_000L
    }
}

/** Options of one run of a command. */
internal data class ResolvedOptions(
    val store: HostAddress?,
    val hosts: List<HostAddress>,
    val output: OutputFormat,
    val callTimeoutMs: Long,
) {
    /** Returns the address of the store, which the command can't do without. */
    fun requireStore(): Either<CliError, HostAddress> =
        store?.right() ?: CliError.Usage("no address of the store: give --store IP:PORT, KUMQUATCTL_STORE or a settings file").left()
}
