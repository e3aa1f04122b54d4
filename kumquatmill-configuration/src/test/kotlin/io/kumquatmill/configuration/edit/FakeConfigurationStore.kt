package io.kumquatmill.configuration.edit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.configuration.json.decodeDocument
import io.kumquatmill.configuration.json.encodeDocument
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/** Fault injected into a write. */
internal enum class WriteFault { NONE, RESPONSE_LOST, REQUEST_LOST }

/** Store of a single entry that injects one of [writeFaults] into each write; [beforeWrite] runs before each write. */
internal class FakeConfigurationStore(
    initial: OperatorConfiguration,
) {
    var entry = StoreEntry(ConfigurationDocument.KEY, encodeDocument(ConfigurationDocument(initial.plans, initial.customers)), revision = 1)
    val writeFaults = ArrayDeque<WriteFault>()
    var beforeWrite: () -> Unit = {}
    var failsReads = false
    var writes = 0

    val configuration: OperatorConfiguration
        get() = decodeDocument(entry.value).getOrNull()!!.configuration

    fun execute(call: StoreCall): Either<StoreError, StoreReply> =
        when (call) {
            is StoreCall.Read -> read()
            is StoreCall.CompareAndSwap -> write(call)
            else -> StoreError.Rejected("$call").left()
        }

    private fun read(): Either<StoreError, StoreReply> =
        if (failsReads) StoreError.Unavailable("down").left() else StoreReply.Entry(entry, entry.revision).right()

    private fun write(call: StoreCall.CompareAndSwap): Either<StoreError, StoreReply> {
        beforeWrite()
        val fault = writeFaults.removeFirstOrNull() ?: WriteFault.NONE
        if (fault == WriteFault.REQUEST_LOST) return StoreError.Unknown("lost").left()
        if (call.expectedRevision != entry.revision) return StoreError.Conflict(entry).left()
        entry = StoreEntry(call.key, call.value, entry.revision + 1)
        writes++
        return if (fault == WriteFault.NONE) StoreReply.Written(entry.revision).right() else StoreError.Unknown("lost").left()
    }
}
