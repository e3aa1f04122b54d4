package io.kumquatmill.scenario.virtual

import arrow.core.Either
import arrow.core.left
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.scenario.history.Observation
import io.kumquatmill.standins.platform.KeyValueStandin
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/** The platform's key-value service under virtual time: adds delays, lost answers and waiting watches to the stand-in. */
class VirtualStore(
    private val time: VirtualTime,
    private val network: VirtualNetwork,
    private val place: Place,
    private val decodeLists: (String) -> OperatorConfiguration,
    private val observe: (Observation) -> Unit,
) {
    /** The service itself, for faults and call counts. */
    val service = KeyValueStandin()

    private val waitingWatches = mutableListOf<WaitingWatch>()

    init {
        time.every(SCAN_INTERVAL_MS) {
            service.expireLeases(time.nowMs)
            answerWatches()
            true
        }
    }

    /** Executes [call] for the party at [from] and gives the result to [onResult] when the answer is back there. */
    fun call(
        from: Place,
        call: StoreCall,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        var isAnswered = false
        val answerOnce = { result: Either<StoreError, StoreReply> ->
            if (!isAnswered) {
                isAnswered = true
                onResult(result)
            }
        }
        val timeoutMs = CALL_TIMEOUT_MS + ((call as? StoreCall.Watch)?.waitMs ?: 0)
        time.after(timeoutMs) { answerOnce(StoreError.Unknown("no answer within $timeoutMs ms").left()) }
        network.connect(from, place, onCut = { answerOnce(StoreError.Unavailable("connect timed out").left()) }) {
            time.after(service.faults.delayMs) { executeAndReply(from, call, answerOnce) }
        }
    }

    /** Executes [call] for an operator, at once and without a network between. */
    fun callAsOperator(call: StoreCall): Either<StoreError, StoreReply> = executeAndObserve(call)

    private fun executeAndReply(
        from: Place,
        call: StoreCall,
        answer: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        val result = executeAndObserve(call)
        val isWaiting = call is StoreCall.Watch && (result.getOrNull() as? StoreReply.Changes)?.changes?.isEmpty() == true
        if (isWaiting) {
            waitingWatches += WaitingWatch(call, time.nowMs + call.waitMs, from, answer)
        } else {
            network.connect(place, from) { answer(result) }
        }
    }

    private fun executeAndObserve(call: StoreCall): Either<StoreError, StoreReply> {
        val revisionBefore = service.revision
        val result = service.execute(time.nowMs, call)
        service
            .changesAfter(ConfigurationDocument.KEY, revisionBefore)
            .filter { it.key == ConfigurationDocument.KEY }
            .forEach { change ->
                change.value?.let { observe(Observation.ListsAccepted(time.nowMs, change.revision, decodeLists(it))) }
            }
        return result
    }

    private fun answerWatches() {
        val (due, waiting) = waitingWatches.partition { it.isDue() }
        waitingWatches.clear()
        waitingWatches += waiting
        due.forEach { watch ->
            val result = service.execute(time.nowMs, watch.call)
            network.connect(place, watch.from) { watch.answer(result) }
        }
    }

    private fun WaitingWatch.isDue(): Boolean =
        untilMs <= time.nowMs ||
            service.faults.isDown ||
            service.changesAfter(call.prefix, call.afterRevision).isNotEmpty()

    private class WaitingWatch(
        val call: StoreCall.Watch,
        val untilMs: Long,
        val from: Place,
        val answer: (Either<StoreError, StoreReply>) -> Unit,
    )

    private companion object {
        const val CALL_TIMEOUT_MS = 15_000L
        const val SCAN_INTERVAL_MS = 10L
    }
}
