package io.kumquatmill.cli.edit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.configuration.edit.CommitError
import io.kumquatmill.configuration.edit.ConfigurationEdit
import io.kumquatmill.configuration.edit.EditId
import io.kumquatmill.configuration.edit.commitEdit
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.configuration.json.decodeDocument
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.VersionedConfiguration
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreClient
import io.kumquatmill.store.read

/** Reads the configuration from the store; it is empty if none has been written yet. */
internal fun StoreClient.readConfiguration(): Either<CliError, VersionedConfiguration> =
    read(ConfigurationDocument.KEY).fold(
        { error -> CliError.Store(error).left() },
        { reply ->
            val entry = reply.entry
            if (entry == null) {
                VersionedConfiguration(StoreCall.NO_REVISION, OperatorConfiguration()).right()
            } else {
                decodeDocument(entry.value)
                    .mapLeft { CliError.Edit(CommitError.StoredConfigurationInvalid(it)) }
                    .map { VersionedConfiguration(entry.revision, it.configuration) }
            }
        },
    )

/**
 * Commits [edit] under the idempotency identifier [id].
 *
 * With [expectedConfiguration], fails if the edited entry no longer equals the one in it; null compares with the
 * configuration that the commit reads first.
 */
internal fun StoreClient.commitConfigurationEdit(
    edit: ConfigurationEdit,
    id: EditId,
    expectedConfiguration: OperatorConfiguration? = null,
): Either<CliError, VersionedConfiguration> = commitEdit(edit, id, expectedConfiguration, execute = ::execute).mapLeft(CliError::Edit)
