package io.kumquatmill.cli.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.output.OutputFormat
import io.kumquatmill.common.fleet.HostAddress
import org.ini4j.Config
import org.ini4j.Ini
import org.ini4j.Profile
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private const val SECTION = "kumquatctl"
private const val STORE = "store"
private const val OUTPUT = "output"
private const val CALL_TIMEOUT_MS = "call-timeout-ms"
private val supportedKeys = setOf(STORE, OUTPUT, CALL_TIMEOUT_MS)

/**
 * Settings of `kumquatctl` from its INI file, which command-line options override; null means not set.
 *
 * @property store address of the key-value store.
 * @property output format of the results.
 * @property callTimeoutMs limit for a call to the store or a host.
 */
data class CliSettings(
    val store: HostAddress? = null,
    val output: OutputFormat? = null,
    val callTimeoutMs: Long? = null,
)

/** Reads the section `kumquatctl` of the INI file at [path]; unknown sections, unknown keys and repeated keys are errors. */
fun readCliSettings(path: Path): Either<CliError, CliSettings> =
    either {
        val ini = parse(path).bind()
        val unknownSections = ini.keys - SECTION
        if (unknownSections.isNotEmpty()) raise(CliError.Usage("$path has unknown sections $unknownSections: use only [$SECTION]"))
        val section = ini[SECTION] ?: raise(CliError.Usage("$path has no section [$SECTION]: add it"))
        validateKeys(path, section).bind()
        CliSettings(
            store = section[STORE]?.let { parseHostAddress(it).bind() },
            output = section[OUTPUT]?.let { parseOutput(it).bind() },
            callTimeoutMs = section[CALL_TIMEOUT_MS]?.let { parseTimeout(it).bind() },
        )
    }

/** Parses [text] as an IPv4 address and a TCP port, separated by a colon. */
fun parseHostAddress(text: String): Either<CliError, HostAddress> {
    val ip = text.substringBeforeLast(':', missingDelimiterValue = "")
    val port = text.substringAfterLast(':').toIntOrNull()
    val isValid = ip.isNotEmpty() && ip.all { it.isDigit() || it == '.' } && port in 1..MAX_PORT
    return if (isValid && port != null) HostAddress(ip, port).right() else CliError.Usage("'$text' is not an address: give IP:PORT").left()
}

private fun parse(path: Path): Either<CliError, Ini> =
    try {
        val ini = Ini()
        ini.config = Config().apply { isMultiOption = true }
        Files.newBufferedReader(path).use(ini::load)
        ini.right()
    } catch (e: IOException) {
        CliError.Usage("can't read the settings file $path (${e.message}): check the path and the INI syntax").left()
    }

private fun validateKeys(
    path: Path,
    section: Profile.Section,
): Either<CliError, Unit> {
    val unknown = section.keys - supportedKeys
    val repeated = section.keys.filter { section.getAll(it).size > 1 }
    return when {
        unknown.isNotEmpty() -> CliError.Usage("$path has unknown keys $unknown: supported keys are $supportedKeys").left()
        repeated.isNotEmpty() -> CliError.Usage("$path has repeated keys $repeated: set each key only once").left()
        else -> Unit.right()
    }
}

private fun parseOutput(text: String): Either<CliError, OutputFormat> =
    OutputFormat.entries.find { it.name.equals(text, ignoreCase = true) }?.right()
        ?: CliError.Usage("'$text' is not an output format: give table or json").left()

private fun parseTimeout(text: String): Either<CliError, Long> =
    text.toLongOrNull()?.takeIf { it > 0 }?.right() ?: CliError.Usage("'$text' is not a timeout: give milliseconds above 0").left()

private const val MAX_PORT = 65_535
