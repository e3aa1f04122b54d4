package io.kumquatmill.daemon.platform

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Runs [poll] repeatedly on a thread called [name], with a pause of [intervalMs] between runs. */
internal class Poller(
    private val name: String,
    private val intervalMs: Long,
    private val poll: () -> Unit,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor { task -> Thread(task, name).apply { isDaemon = true } }

    fun start() {
        executor.scheduleWithFixedDelay(::pollSafely, 0, intervalMs, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    @Suppress("TooGenericExceptionCaught")
    private fun pollSafely() {
        try {
            poll()
        } catch (e: RuntimeException) {
            logger.warn(e) { "poll by thread $name failed; retrying in $intervalMs ms" }
        }
    }
}
