package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.raise.either
import com.github.ajalt.clikt.parameters.options.option
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.edit.commit
import io.kumquatmill.cli.edit.readLists
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.output.Table
import io.kumquatmill.configuration.edit.ConfigurationEdit
import io.kumquatmill.configuration.edit.EditId
import io.kumquatmill.configuration.model.OperatorConfiguration
import kotlinx.serialization.Serializable

/** A command that commits one edit of the operators' lists and prints the revision to wait for. */
internal abstract class EditCommand(
    environment: CommandEnvironment,
    name: String,
    helpText: String,
) : LeafCommand(environment, name, helpText) {
    private val editId by option("--edit-id", help = "Identifier of the edit, to repeat one whose outcome is unknown")

    /** Returns the edit to make, given the [lists] as they are now. */
    protected abstract fun editOf(lists: OperatorConfiguration): Either<CliError, ConfigurationEdit>

    final override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val id = editId?.let(::EditId) ?: environment.newEditId()
            val store = openStore(options).bind()
            val seen = store.readLists().bind().configuration
            val committed = store.commit(editOf(seen).bind(), id, seen).bind()
            print(options, CommittedEdit(id.value, committed.revision)) {
                Table(listOf("REVISION", "EDIT"), listOf(listOf(committed.revision.toString(), id.value)))
            }
        }
}

/** Result of an edit: the revision that hosts have to reach. */
@Serializable
internal data class CommittedEdit(
    val editId: String,
    val revision: Long,
)
