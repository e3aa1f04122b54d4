package io.kumquatmill.daemon.decision

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.LongAdder

/**
 * Thread pool with a bounded queue that rejects tasks while the queue is full.
 *
 * With a [queueCapacity] of 0, a task is rejected while all threads are busy. Threads are called [name] with a number appended.
 */
internal class BoundedExecutor(
    private val name: String,
    threads: Int,
    queueCapacity: Int,
) : AutoCloseable {
    private val threadNumber = AtomicInteger()
    private val rejections = LongAdder()
    private val executor =
        ThreadPoolExecutor(
            if (queueCapacity > 0) threads else 0,
            threads,
            THREAD_KEEP_ALIVE_S,
            TimeUnit.SECONDS,
            if (queueCapacity > 0) ArrayBlockingQueue(queueCapacity) else SynchronousQueue(),
        ) { task -> Thread(task, "$name-${threadNumber.incrementAndGet()}").apply { isDaemon = true } }

    /** Number of tasks that wait for a thread. */
    val queuedTasks: Int
        get() = executor.queue.size

    /** Number of tasks rejected since the start. */
    val rejectedTasks: Long
        get() = rejections.sum()

    /** Submits [task] without blocking, or returns false if it is rejected. */
    fun submit(task: Runnable): Boolean =
        try {
            executor.execute(task)
            true
        } catch (_: RejectedExecutionException) {
            rejections.increment()
            false
        }

    /** Rejects new tasks and waits up to [timeoutMs] for submitted tasks to finish. */
    fun shutdownAndAwait(timeoutMs: Long) {
        executor.shutdown()
        executor.awaitTermination(timeoutMs, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        const val THREAD_KEEP_ALIVE_S = 30L
    }
}
