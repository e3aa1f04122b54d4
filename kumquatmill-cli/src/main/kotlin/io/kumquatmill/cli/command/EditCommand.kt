package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.raise.either
import com.github.ajalt.clikt.parameters.options.option
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.edit.commitConfigurationEdit
import io.kumquatmill.cli.edit.readConfiguration
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.output.Table
import io.kumquatmill.configuration.edit.ConfigurationEdit
import io.kumquatmill.configuration.edit.EditId
import io.kumquatmill.configuration.model.OperatorConfiguration
import kotlinx.serialization.Serializable

/** Base class of commands that commit one edit of the configuration and print the resulting revision. */
internal abstract class EditCommand(
    environment: CommandEnvironment,
    name: String,
    helpText: String,
) : LeafCommand(environment, name, helpText) {
    private val editId by option("--edit-id", help = "Idempotency ID of the edit, to retry one whose outcome is unknown")

    /** Builds the edit from the arguments and the current [configuration]. */
    protected abstract fun buildEdit(configuration: OperatorConfiguration): Either<CliError, ConfigurationEdit>

    final override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val id = editId?.let(::EditId) ?: environment.newEditId()
            val store = openStore(options).bind()
            val currentConfiguration = store.readConfiguration().bind().configuration
            val committed = store.commitConfigurationEdit(buildEdit(currentConfiguration).bind(), id, currentConfiguration).bind()
            print(options, CommittedEdit(id.value, committed.revision)) {
                Table(listOf("REVISION", "EDIT"), listOf(listOf(committed.revision.toString(), id.value)))
            }
        }
}

/**
 * Result of a committed edit.
 *
 * @property editId idempotency identifier of the edit.
 * @property revision revision that contains the edit; a host applies the edit once this revision or a newer one is in force on it.
 */
@Serializable
internal data class CommittedEdit(
    val editId: String,
    val revision: Long,
)
