package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.key.CallerKey
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.edit.ConfigurationEdit
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.OperatorConfiguration
import java.nio.file.Path

private val hashPattern = Regex("[0-9a-f]{64}")

/** Returns the commands that grant and withdraw callers' keys. */
internal fun keyCommands(environment: CommandEnvironment): CommandGroup =
    CommandGroup("key", "Grants and withdraws callers' keys, which are read from a file or the standard input.")
        .subcommands(KeyGrantCommand(environment), KeyWithdrawCommand(environment))

private class KeyGrantCommand(
    environment: CommandEnvironment,
) : EditCommand(environment, "grant", "Grants a key access to a workspace; only the hash of the key is stored.") {
    private val workspace by argument(help = "Name of the workspace")
    private val keyFile by option("--key-file", help = KEY_FILE_HELP).path()

    override fun buildEdit(configuration: OperatorConfiguration): Either<CliError, ConfigurationEdit> =
        environment.readKey(keyFile).map { ConfigurationEdit.GrantKey(WorkspaceId(workspace), it.hash) }
}

private class KeyWithdrawCommand(
    environment: CommandEnvironment,
) : EditCommand(environment, "withdraw", "Withdraws a key's access to a workspace.") {
    private val workspace by argument(help = "Name of the workspace")
    private val keyFile by option("--key-file", help = KEY_FILE_HELP).path()
    private val keyHash by option("--key-hash", help = "Hash of the key as shown by 'customer list', instead of the key itself")

    override fun buildEdit(configuration: OperatorConfiguration): Either<CliError, ConfigurationEdit> =
        resolveHash().map { ConfigurationEdit.WithdrawKey(WorkspaceId(workspace), it) }

    private fun resolveHash(): Either<CliError, KeyHash> {
        val hex = keyHash ?: return environment.readKey(keyFile).map { it.hash }
        return if (hashPattern.matches(hex)) {
            KeyHash(hex).right()
        } else {
            CliError.Usage("the key hash is not 64 lower-case hexadecimal digits: copy it from the output of 'customer list'").left()
        }
    }
}

internal const val KEY_FILE_HELP: String = "File that contains the key; by default the key is read from the terminal or the standard input"

/** Reads a caller's key from [file], or from the terminal or the standard input if it is null. */
internal fun CommandEnvironment.readKey(file: Path?): Either<CliError, CallerKey> =
    if (file == null) CallerKey.parse(readKeyFromInput()) else CallerKey.readFile(file)
