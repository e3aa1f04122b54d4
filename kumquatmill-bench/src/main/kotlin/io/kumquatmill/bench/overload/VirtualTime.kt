package io.kumquatmill.bench.overload

import java.util.PriorityQueue

/** Scheduler in virtual time, in milliseconds; tasks that are due at the same time run in the order in which they were added. */
internal class VirtualTime {
    private class Task(
        val atMs: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val tasks = PriorityQueue(compareBy<Task>({ it.atMs }, { it.sequence }))
    private var lastSequence = 0L

    var nowMs: Long = 0
        private set

    fun after(
        delayMs: Long,
        action: () -> Unit,
    ) {
        tasks.add(Task(nowMs + delayMs, ++lastSequence, action))
    }

    /** Runs all tasks that are due up to and including [endMs]. */
    fun runUntil(endMs: Long) {
        while (true) {
            val next = tasks.peek()
            if (next == null || next.atMs > endMs) break
            tasks.poll()
            nowMs = next.atMs
            next.action()
        }
        nowMs = endMs
    }
}
