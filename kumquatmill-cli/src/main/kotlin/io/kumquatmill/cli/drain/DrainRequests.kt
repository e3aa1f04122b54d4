package io.kumquatmill.cli.drain

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreClient
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreKeys
import io.kumquatmill.store.StoreReply
import io.kumquatmill.store.compareAndSwap
import io.kumquatmill.store.delete
import io.kumquatmill.store.read
import io.kumquatmill.store.readPrefix
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Value of a drain entry. */
@Serializable
data class DrainRequest(
    val name: String,
)

/** Entries of the store that ask for hosts and upstreams to be drained; both changes are idempotent. */
internal class DrainRequests(
    private val store: StoreClient,
) {
    /** Asks for [name] to be drained. */
    fun request(name: String): Either<CliError, Unit> = DrainChange(store, name, isRequested = true).run()

    /** Returns the names that are asked to drain. */
    fun list(): Either<CliError, List<String>> =
        store
            .readPrefix(StoreKeys.DRAIN_PREFIX)
            .mapLeft(CliError::Store)
            .map { reply -> reply.entries.map { it.key.removePrefix(StoreKeys.DRAIN_PREFIX) } }

    /** Takes back the request to drain [name]. */
    fun withdraw(name: String): Either<CliError, Unit> = DrainChange(store, name, isRequested = false).run()
}

/** Writes until the entry is as wanted; an answer that was lost is resolved by reading back. */
private class DrainChange(
    private val store: StoreClient,
    private val name: String,
    private val isRequested: Boolean,
) {
    private val key = StoreKeys.DRAIN_PREFIX + name
    private var lostAnswer: String? = null

    fun run(): Either<CliError, Unit> {
        repeat(MAX_ATTEMPTS) {
            val result = attempt()
            if (result != null) return result
        }
        return CliError.OutcomeUnknown(lostAnswer ?: "others change the same entry").left()
    }

    /** Returns the result, or null if the change has to be tried again. */
    private fun attempt(): Either<CliError, Unit>? =
        store.read(key).fold(
            { error -> failed(error) },
            { reply -> if ((reply.entry != null) == isRequested) Unit.right() else write(reply.entry) },
        )

    private fun write(current: StoreEntry?): Either<CliError, Unit>? =
        when (val error = writeOnce(current).leftOrNull()) {
            null -> Unit.right()
            is StoreError.Conflict -> null
            is StoreError.Unknown -> null.also { lostAnswer = error.detail }
            else -> failed(error)
        }

    private fun writeOnce(current: StoreEntry?): Either<StoreError, StoreReply.Written> =
        if (current == null) {
            store.compareAndSwap(key, StoreCall.NO_REVISION, Json.encodeToString(DrainRequest(name)))
        } else {
            store.delete(key, current.revision)
        }

    private fun failed(error: StoreError): Either<CliError, Unit> =
        (lostAnswer?.let(CliError::OutcomeUnknown) ?: CliError.Store(error)).left()

    private companion object {
        const val MAX_ATTEMPTS = 8
    }
}
