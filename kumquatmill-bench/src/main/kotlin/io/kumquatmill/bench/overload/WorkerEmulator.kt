package io.kumquatmill.bench.overload

import io.kumquatmill.traffic.control.WorkerLoad

/** A worker with slots, a queue and warm objects, in virtual time. */
internal class WorkerEmulator(
    private val figures: WorkerFigures,
    private val time: VirtualTime,
    private val slownessNow: () -> Double,
) {
    private class Job(
        val objectKey: String,
        val workMs: Double,
        val onEnd: (WorkerLoad) -> Unit,
    ) {
        var isCancelled = false
    }

    private val queue = ArrayDeque<Job>()
    private var running = 0
    private val warm =
        object : LinkedHashMap<String, Unit>(figures.warmObjects, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>): Boolean = size > figures.warmObjects
        }

    /** Requests that met a warm object, and all that ran. */
    var warmRuns = 0
        private set
    var runs = 0
        private set

    val load: WorkerLoad
        get() = WorkerLoad(running, queue.size, figures.slots)

    /**
     * Takes a request for [objectKey] and tells [onEnd] when it has run; returns how to cancel it, or null when the worker turns it
     * away.
     */
    fun offer(
        objectKey: String,
        workMs: Double,
        onEnd: (WorkerLoad) -> Unit,
    ): (() -> Unit)? {
        val job = Job(objectKey, workMs, onEnd)
        when {
            running < figures.slots -> run(job)
            queue.size < figures.queue -> queue.addLast(job)
            else -> return null
        }
        return {
            job.isCancelled = true
            queue.remove(job)
        }
    }

    private fun run(job: Job) {
        running++
        runs++
        val isWarm = warm.containsKey(job.objectKey)
        if (isWarm) warmRuns++
        warm[job.objectKey] = Unit
        val workMs = job.workMs * (if (isWarm) 1 - figures.warmGain else 1.0) * slownessNow()
        time.after(workMs.toLong().coerceAtLeast(1)) {
            running--
            queue.removeFirstOrNull()?.let { run(it) }
            if (!job.isCancelled) job.onEnd(load)
        }
    }

    private companion object {
        const val LOAD_FACTOR = 0.75f
    }
}
