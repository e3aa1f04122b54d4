package io.kumquatmill.daemon.platform

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** A thread that runs [poll] again and again, [intervalMs] after each end. */
internal class Poller(
    private val name: String,
    private val intervalMs: Long,
    private val poll: () -> Unit,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor { task -> Thread(task, name).apply { isDaemon = true } }

    fun start() {
        executor.scheduleWithFixedDelay(::guarded, 0, intervalMs, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    @Suppress("TooGenericExceptionCaught")
    private fun guarded() {
        try {
            poll()
        } catch (e: RuntimeException) {
            logger.warn(e) { "a poll by $name failed; the next one follows in $intervalMs ms" }
        }
    }
}
