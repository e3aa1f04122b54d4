package io.kumquatmill.scenario.virtual

import java.util.PriorityQueue

/** Virtual clock with a queue of scheduled actions; actions with the same time run in the order in which they were scheduled. */
class VirtualTime {
    /** Time since the start of the simulation. */
    var nowMs: Long = 0
        private set

    private var lastSequence = 0L
    private val queue = PriorityQueue(compareBy<TimedAction>({ it.atMs }, { it.sequence }))

    /** Schedules [action] for [atMs], or for the current time if [atMs] has passed. */
    fun at(
        atMs: Long,
        action: () -> Unit,
    ) {
        lastSequence += 1
        queue += TimedAction(maxOf(atMs, nowMs), lastSequence, action)
    }

    /** Schedules [action] to run after [delayMs]. */
    fun after(
        delayMs: Long,
        action: () -> Unit,
    ) = at(nowMs + delayMs, action)

    /** Runs [action] every [intervalMs], first after [firstDelayMs], until it returns false. */
    fun every(
        intervalMs: Long,
        firstDelayMs: Long = intervalMs,
        action: () -> Boolean,
    ) {
        after(firstDelayMs) {
            if (action()) every(intervalMs, intervalMs, action)
        }
    }

    /** Runs all actions scheduled up to and including [endMs]. */
    fun runUntil(endMs: Long) {
        while (true) {
            val next = queue.peek()?.takeIf { it.atMs <= endMs } ?: break
            queue.remove()
            nowMs = next.atMs
            next.action()
        }
        nowMs = endMs
    }
}

private class TimedAction(
    val atMs: Long,
    val sequence: Long,
    val action: () -> Unit,
)
