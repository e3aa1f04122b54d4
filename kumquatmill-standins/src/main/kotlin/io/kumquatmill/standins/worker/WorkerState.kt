package io.kumquatmill.standins.worker

import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.standins.http.ConnectionSequence

/** Thread-safe state of one worker stand-in: slots, draining and injected faults. */
class WorkerState(
    val settings: WorkerSettings,
    val runLog: RunLog,
    val headerLog: HeaderLog,
    private val clock: MonotonicClock,
) {
    private val serviceTimeSampler = ServiceTimeSampler(settings, clock.nowMs())
    internal val connections = ConnectionSequence()
    private val loadHistory = LoadHistory()
    private var busySlots = 0

    /** Currently injected faults. */
    @Volatile
    var faults: WorkerFaults = WorkerFaults()

    /** Whether the worker is draining and rejects new requests. */
    @get:Synchronized
    @set:Synchronized
    var isDraining: Boolean = false
        set(value) {
            field = value
            recordLoad()
        }

    init {
        recordLoad()
    }

    /** Permanently stops responding on every connection that has carried a request so far. */
    fun silenceConnections() = connections.silenceExisting()

    /** Restarts the warm-up, as if the worker had just started. */
    fun resetToCold() = serviceTimeSampler.resetToCold(clock.nowMs())

    /** Returns the actual load, without injected faults. */
    @Synchronized
    fun load(): WorkerLoad = WorkerLoad(busySlots, isHealthy = true, isDraining)

    /** Returns the load as reported by the load endpoint, with faults applied. */
    internal fun reportedLoad(): WorkerLoad = loadHistory.report(clock.nowMs(), faults.load)

    /** Acquires a slot and returns true, or returns false if no slot is free or the worker is draining. */
    @Synchronized
    internal fun tryAcquireSlot(): Boolean {
        if (isDraining || busySlots >= settings.slots) {
            return false
        }
        busySlots += 1
        recordLoad()
        return true
    }

    /** Releases a slot. */
    @Synchronized
    internal fun releaseSlot() {
        busySlots -= 1
        recordLoad()
    }

    /** Returns the service time in ms of a request that starts now. */
    internal fun nextServiceMs(): Double = serviceTimeSampler.nextMs(clock.nowMs(), faults.serviceFactor)

    /** Returns the fault to inject into the next response, or null if there is none, and decrements its remaining count. */
    @Synchronized
    internal fun takeNextResponseFault(): ResponseFault? {
        val current = faults
        return when {
            current.answersToCut > 0 -> {
                faults = current.copy(answersToCut = current.answersToCut - 1)
                ResponseFault.TRUNCATED
            }

            current.answersToCross > 0 -> {
                faults = current.copy(answersToCross = current.answersToCross - 1)
                ResponseFault.MISMATCHED
            }

            current.answersToLose > 0 -> {
                faults = current.copy(answersToLose = current.answersToLose - 1)
                ResponseFault.LOST
            }

            else -> {
                null
            }
        }
    }

    /** Returns the delay of the next response in ms, or 0 if it has none, and decrements the number of responses to delay. */
    @Synchronized
    internal fun takeNextResponseDelayMs(): Long {
        val current = faults
        if (current.answersToDelay <= 0) {
            return 0
        }
        faults = current.copy(answersToDelay = current.answersToDelay - 1)
        return current.delayMs
    }

    private fun recordLoad() = loadHistory.record(clock.nowMs(), load())
}
