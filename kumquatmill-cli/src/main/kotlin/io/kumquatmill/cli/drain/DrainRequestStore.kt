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

/** Value of a drain request in the store; [name] is a host or an upstream. */
@Serializable
data class DrainRequest(
    val name: String,
)

/** Drain requests for hosts and upstreams in the store; [request] and [cancel] are idempotent. */
internal class DrainRequestStore(
    private val store: StoreClient,
) {
    /** Requests that the host or upstream [name] is drained. */
    fun request(name: String): Either<CliError, Unit> = DrainRequestUpdate(store, name, shouldExist = true).run()

    /** Returns the names of the hosts and upstreams for which a drain is requested. */
    fun list(): Either<CliError, List<String>> =
        store
            .readPrefix(StoreKeys.DRAIN_PREFIX)
            .mapLeft(CliError::Store)
            .map { reply -> reply.entries.map { it.key.removePrefix(StoreKeys.DRAIN_PREFIX) } }

    /** Cancels the request to drain [name]. */
    fun cancel(name: String): Either<CliError, Unit> = DrainRequestUpdate(store, name, shouldExist = false).run()
}

/** Retries a write until the entry is in the desired state; reads the entry back after a lost response. */
private class DrainRequestUpdate(
    private val store: StoreClient,
    private val name: String,
    private val shouldExist: Boolean,
) {
    private val key = StoreKeys.DRAIN_PREFIX + name
    private var lostResponseDetail: String? = null

    fun run(): Either<CliError, Unit> {
        repeat(MAX_ATTEMPTS) {
            val result = attempt()
            if (result != null) return result
        }
        return CliError.OutcomeUnknown(lostResponseDetail ?: "concurrent changes of the same entry").left()
    }

    /** Returns the result, or null if the change has to be retried. */
    private fun attempt(): Either<CliError, Unit>? =
        store.read(key).fold(
            { error -> failure(error) },
            { reply -> if ((reply.entry != null) == shouldExist) Unit.right() else write(reply.entry) },
        )

    private fun write(current: StoreEntry?): Either<CliError, Unit>? =
        when (val error = writeOnce(current).leftOrNull()) {
            null -> Unit.right()
            is StoreError.Conflict -> null
            is StoreError.Unknown -> null.also { lostResponseDetail = error.detail }
            else -> failure(error)
        }

    private fun writeOnce(current: StoreEntry?): Either<StoreError, StoreReply.Written> =
        if (current == null) {
            store.compareAndSwap(key, StoreCall.NO_REVISION, Json.encodeToString(DrainRequest(name)))
        } else {
            store.delete(key, current.revision)
        }

    private fun failure(error: StoreError): Either<CliError, Unit> =
        (lostResponseDetail?.let(CliError::OutcomeUnknown) ?: CliError.Store(error)).left()

    private companion object {
        const val MAX_ATTEMPTS = 8
    }
}
