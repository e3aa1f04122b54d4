package io.kumquatmill.configuration.edit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.configuration.json.ListsDocument
import io.kumquatmill.configuration.json.decodeDocument
import io.kumquatmill.configuration.json.encodeDocument
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/** What happens to one write. */
internal enum class WriteFault { NONE, ANSWER_LOST, CALL_LOST }

/** Store of one entry that loses calls and answers as told; [beforeWrite] runs before each write. */
internal class FakeListsStore(
    initial: OperatorLists,
) {
    var entry = StoreEntry(ListsDocument.KEY, encodeDocument(ListsDocument(initial.plans, initial.customers)), revision = 1)
    val writeFaults = ArrayDeque<WriteFault>()
    var beforeWrite: () -> Unit = {}
    var readsFail = false
    var writes = 0

    val lists: OperatorLists
        get() = decodeDocument(entry.value).getOrNull()!!.lists

    fun execute(call: StoreCall): Either<StoreError, StoreReply> =
        when (call) {
            is StoreCall.Read -> read()
            is StoreCall.CompareAndSwap -> write(call)
            else -> StoreError.Rejected("$call").left()
        }

    private fun read(): Either<StoreError, StoreReply> =
        if (readsFail) StoreError.Unavailable("down").left() else StoreReply.Entry(entry, entry.revision).right()

    private fun write(call: StoreCall.CompareAndSwap): Either<StoreError, StoreReply> {
        beforeWrite()
        val fault = writeFaults.removeFirstOrNull() ?: WriteFault.NONE
        if (fault == WriteFault.CALL_LOST) return StoreError.Unknown("lost").left()
        if (call.expectedRevision != entry.revision) return StoreError.Conflict(entry).left()
        entry = StoreEntry(call.key, call.value, entry.revision + 1)
        writes++
        return if (fault == WriteFault.NONE) StoreReply.Written(entry.revision).right() else StoreError.Unknown("lost").left()
    }
}
