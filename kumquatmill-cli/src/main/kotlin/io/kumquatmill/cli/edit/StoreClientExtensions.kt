package io.kumquatmill.cli.edit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.configuration.edit.CommitError
import io.kumquatmill.configuration.edit.EditId
import io.kumquatmill.configuration.edit.ListEdit
import io.kumquatmill.configuration.edit.commitEdit
import io.kumquatmill.configuration.json.ListsDocument
import io.kumquatmill.configuration.json.decodeDocument
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.configuration.model.VersionedLists
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreClient
import io.kumquatmill.store.read

/** Reads the operators' lists from the store; they are empty if none have been written yet. */
internal fun StoreClient.readOperatorLists(): Either<CliError, VersionedLists> =
    read(ListsDocument.KEY).fold(
        { error -> CliError.Store(error).left() },
        { reply ->
            val entry = reply.entry
            if (entry == null) {
                VersionedLists(StoreCall.NO_REVISION, OperatorLists()).right()
            } else {
                decodeDocument(entry.value)
                    .mapLeft { CliError.Edit(CommitError.StoredListsInvalid(it)) }
                    .map { VersionedLists(entry.revision, it.lists) }
            }
        },
    )

/**
 * Commits [edit] under the idempotency identifier [id].
 *
 * With [expectedLists], fails if the edited entry no longer equals the one in them; null compares with the lists
 * that the commit reads first.
 */
internal fun StoreClient.commitListEdit(
    edit: ListEdit,
    id: EditId,
    expectedLists: OperatorLists? = null,
): Either<CliError, VersionedLists> = commitEdit(edit, id, expectedLists, execute = ::execute).mapLeft(CliError::Edit)
