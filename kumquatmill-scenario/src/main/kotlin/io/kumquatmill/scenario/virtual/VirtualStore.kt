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

/** Simulated key-value store of the platform: adds delays, timeouts, network partitions and pending watches to the stand-in. */
class VirtualStore(
    private val time: VirtualTime,
    private val network: VirtualNetwork,
    private val endpoint: Endpoint,
    private val decodeConfiguration: (String) -> OperatorConfiguration,
    private val observe: (Observation) -> Unit,
) {
    /** The stand-in that executes the calls; provides fault injection and call counts. */
    val service = KeyValueStandin()

    private val pendingWatches = mutableListOf<PendingWatch>()

    init {
        time.every(SCAN_INTERVAL_MS) {
            service.expireLeases(time.nowMs)
            answerDueWatches()
            true
        }
    }

    /** Executes [call] for the endpoint [from] and calls [onResult] once, when the reply has arrived there or the call has timed out. */
    fun call(
        from: Endpoint,
        call: StoreCall,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        var isCompleted = false
        val completeOnce = { result: Either<StoreError, StoreReply> ->
            if (!isCompleted) {
                isCompleted = true
                onResult(result)
            }
        }
        val timeoutMs = CALL_TIMEOUT_MS + ((call as? StoreCall.Watch)?.waitMs ?: 0)
        time.after(timeoutMs) { completeOnce(StoreError.Unknown("no response within $timeoutMs ms").left()) }
        network.sendReliably(from, endpoint, onDisconnected = { completeOnce(StoreError.Unavailable("connect timed out").left()) }) {
            time.after(service.faults.delayMs) { executeAndReply(from, call, completeOnce) }
        }
    }

    /** Executes [call] for an operator, immediately and without the simulated network. */
    fun callAsOperator(call: StoreCall): Either<StoreError, StoreReply> = executeAndObserve(call)

    private fun executeAndReply(
        from: Endpoint,
        call: StoreCall,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        val result = executeAndObserve(call)
        val isWaiting = call is StoreCall.Watch && (result.getOrNull() as? StoreReply.Changes)?.changes?.isEmpty() == true
        if (isWaiting) {
            pendingWatches += PendingWatch(call, time.nowMs + call.waitMs, from, onResult)
        } else {
            network.sendReliably(endpoint, from) { onResult(result) }
        }
    }

    private fun executeAndObserve(call: StoreCall): Either<StoreError, StoreReply> {
        val revisionBefore = service.revision
        val result = service.execute(time.nowMs, call)
        service
            .changesAfter(ConfigurationDocument.KEY, revisionBefore)
            .filter { it.key == ConfigurationDocument.KEY }
            .forEach { change ->
                change.value?.let { observe(Observation.ConfigurationAccepted(time.nowMs, change.revision, decodeConfiguration(it))) }
            }
        return result
    }

    private fun answerDueWatches() {
        val (due, waiting) = pendingWatches.partition { it.isDue() }
        pendingWatches.clear()
        pendingWatches += waiting
        due.forEach { watch ->
            val result = service.execute(time.nowMs, watch.call)
            network.sendReliably(endpoint, watch.from) { watch.onResult(result) }
        }
    }

    private fun PendingWatch.isDue(): Boolean =
        untilMs <= time.nowMs ||
            service.faults.isDown ||
            service.changesAfter(call.prefix, call.afterRevision).isNotEmpty()

    private class PendingWatch(
        val call: StoreCall.Watch,
        val untilMs: Long,
        val from: Endpoint,
        val onResult: (Either<StoreError, StoreReply>) -> Unit,
    )

    private companion object {
        const val CALL_TIMEOUT_MS = 15_000L
        const val SCAN_INTERVAL_MS = 10L
    }
}
