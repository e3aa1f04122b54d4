package io.kumquatmill.bench.overload

import io.kumquatmill.traffic.control.WorkerLoad

/** Emulates a worker with slots, a queue and an LRU cache of warm objects, in virtual time. */
internal class WorkerEmulator(
    private val profile: WorkerProfile,
    private val time: VirtualTime,
    private val reportsSpeed: Boolean = false,
    private val slownessFactor: () -> Double,
) {
    private class Job(
        val objectKey: String,
        val serviceTimeMs: Double,
        val onEnd: (WorkerLoad) -> Unit,
    ) {
        var isCancelled = false
    }

    private val queue = ArrayDeque<Job>()
    private var running = 0
    private val warmObjects =
        object : LinkedHashMap<String, Unit>(profile.warmObjectCapacity, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>): Boolean = size > profile.warmObjectCapacity
        }

    /** Number of executed requests whose object was warm. */
    var warmRuns = 0
        private set

    /** Number of executed requests. */
    var runs = 0
        private set

    val load: WorkerLoad
        get() = WorkerLoad(running, queue.size, profile.slots, if (reportsSpeed) (slownessFactor() * PERCENT).toInt() else null)

    /**
     * Submits a request for [objectKey] and calls [onEnd] after its execution; returns a function that cancels it, or null if the
     * worker rejects it because its queue is full.
     */
    fun submit(
        objectKey: String,
        serviceTimeMs: Double,
        onEnd: (WorkerLoad) -> Unit,
    ): (() -> Unit)? {
        val job = Job(objectKey, serviceTimeMs, onEnd)
        when {
            running < profile.slots -> run(job)
            queue.size < profile.queueCapacity -> queue.addLast(job)
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
        val isWarm = warmObjects.containsKey(job.objectKey)
        if (isWarm) warmRuns++
        warmObjects[job.objectKey] = Unit
        val serviceTimeMs = job.serviceTimeMs * (if (isWarm) 1 - profile.warmSavingFraction else 1.0) * slownessFactor()
        time.after(serviceTimeMs.toLong().coerceAtLeast(1)) {
            running--
            queue.removeFirstOrNull()?.let { run(it) }
            if (!job.isCancelled) job.onEnd(load)
        }
    }

    private companion object {
        const val LOAD_FACTOR = 0.75f
        const val PERCENT = 100
    }
}
