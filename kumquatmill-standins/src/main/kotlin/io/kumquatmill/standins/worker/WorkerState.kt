package io.kumquatmill.standins.worker

import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.standins.http.ConnectionNumbers

/** State of one worker stand-in: slots, lifecycle and faults, safe for use by several threads. */
class WorkerState(
    val settings: WorkerSettings,
    val runLog: RunLog,
    val headerLog: HeaderLog,
    private val clock: MonotonicClock,
) {
    private val serviceTime = ServiceTime(settings, clock.nowMs())
    internal val connections = ConnectionNumbers()
    private val loadReports = LoadReports()
    private var busySlots = 0

    /** Faults in force. */
    @Volatile
    var faults: WorkerFaults = WorkerFaults()

    /** Whether the worker is leaving and refuses new requests. */
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

    /** Makes all connections that have carried a request so far silent for good. */
    fun silenceConnections() = connections.silence()

    /** Makes the worker cold again. */
    fun restartCold() = serviceTime.restart(clock.nowMs())

    /** Returns the true load. */
    @Synchronized
    fun load(): WorkerLoad = WorkerLoad(busySlots, isHealthy = true, isDraining)

    /** Returns the load as the load endpoint reports it. */
    internal fun reportedLoad(): WorkerLoad = loadReports.report(clock.nowMs(), faults.load)

    /** Takes a slot if one is free and the worker stays. */
    @Synchronized
    internal fun tryTakeSlot(): Boolean {
        if (isDraining || busySlots >= settings.slots) {
            return false
        }
        busySlots += 1
        recordLoad()
        return true
    }

    /** Gives a slot back. */
    @Synchronized
    internal fun returnSlot() {
        busySlots -= 1
        recordLoad()
    }

    /** Returns the service time of a request that starts now. */
    internal fun nextServiceMs(): Double = serviceTime.nextMs(clock.nowMs(), faults.serviceFactor)

    /** Returns the fault of the next answer, and counts it off. */
    @Synchronized
    internal fun takeAnswerFault(): AnswerFault? {
        val current = faults
        return when {
            current.answersToCut > 0 -> {
                faults = current.copy(answersToCut = current.answersToCut - 1)
                AnswerFault.CUT
            }

            current.answersToCross > 0 -> {
                faults = current.copy(answersToCross = current.answersToCross - 1)
                AnswerFault.CROSSED
            }

            current.answersToLose > 0 -> {
                faults = current.copy(answersToLose = current.answersToLose - 1)
                AnswerFault.LOST
            }

            else -> {
                null
            }
        }
    }

    /** Returns how long the next answer is held back, and counts it off. */
    @Synchronized
    internal fun takeAnswerDelayMs(): Long {
        val current = faults
        if (current.answersToDelay <= 0) {
            return 0
        }
        faults = current.copy(answersToDelay = current.answersToDelay - 1)
        return current.delayMs
    }

    private fun recordLoad() = loadReports.record(clock.nowMs(), load())
}
