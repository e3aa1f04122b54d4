package io.kumquatmill.bench.fleet

import arrow.core.Either
import io.kumquatmill.scenario.virtual.VirtualTime
import io.kumquatmill.standins.platform.KeyValueStandin
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

internal typealias StoreResult = Either<StoreError, StoreReply>

/** The key-value stand-in with waiting watches, in virtual time. */
internal class FleetStore(
    private val time: VirtualTime,
) {
    private val service = KeyValueStandin()
    private val waiting = mutableListOf<WaitingWatch>()
    private var answeredRevision = 0L

    /** Whether the store answers nobody. */
    var isDown: Boolean
        get() = service.faults.isDown
        set(value) {
            service.faults = service.faults.copy(isDown = value)
        }

    init {
        time.every(SCAN_INTERVAL_MS) {
            service.expireLeases(time.nowMs)
            answerWatches()
            true
        }
    }

    /** Executes [call]; [answer] runs now or, for a watch without changes, when it ends. */
    fun execute(
        call: StoreCall,
        answer: (StoreResult) -> Unit,
    ) {
        val result = service.execute(time.nowMs, call)
        val isEmpty = (result.getOrNull() as? StoreReply.Changes)?.changes?.isEmpty() ?: false
        if (call is StoreCall.Watch && isEmpty) {
            waiting += WaitingWatch(call, time.nowMs + call.waitMs, answer)
        } else {
            answer(result)
        }
    }

    private fun answerWatches() {
        val isChanged = service.revision != answeredRevision
        answeredRevision = service.revision
        val due = waiting.filter { isChanged || isDown || it.untilMs <= time.nowMs }
        waiting.removeAll(due.toSet())
        due.forEach { it.answer(service.execute(time.nowMs, it.call)) }
    }

    private class WaitingWatch(
        val call: StoreCall.Watch,
        val untilMs: Long,
        val answer: (StoreResult) -> Unit,
    )

    private companion object {
        const val SCAN_INTERVAL_MS = 10L
    }
}
