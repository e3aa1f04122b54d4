package io.kumquatmill.daemon.decision

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.LongAdder

/** Threads of one duty, fed by a bounded ring; work that finds the ring full is refused. */
internal class DutyPool(
    private val name: String,
    threads: Int,
    ringCapacity: Int,
) : AutoCloseable {
    private val number = AtomicInteger()
    private val refusals = LongAdder()
    private val executor =
        ThreadPoolExecutor(
            if (ringCapacity > 0) threads else 0,
            threads,
            IDLE_THREAD_S,
            TimeUnit.SECONDS,
            if (ringCapacity > 0) ArrayBlockingQueue(ringCapacity) else SynchronousQueue(),
        ) { task -> Thread(task, "$name-${number.incrementAndGet()}").apply { isDaemon = true } }

    /** Work that waits for a thread. */
    val depth: Int
        get() = executor.queue.size

    /** Work that was refused since the start. */
    val refused: Long
        get() = refusals.sum()

    /** Hands [work] to a thread, or returns false when there is no room. */
    fun submit(work: Runnable): Boolean =
        try {
            executor.execute(work)
            true
        } catch (_: RejectedExecutionException) {
            refusals.increment()
            false
        }

    /** Takes no more work and waits at most [timeoutMs] for the end of what waits. */
    fun finish(timeoutMs: Long) {
        executor.shutdown()
        executor.awaitTermination(timeoutMs, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        const val IDLE_THREAD_S = 30L
    }
}
