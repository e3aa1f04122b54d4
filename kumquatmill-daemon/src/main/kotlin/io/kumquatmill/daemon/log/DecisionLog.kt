package io.kumquatmill.daemon.log

import io.kumquatmill.daemon.decision.BoundedExecutor
import io.kumquatmill.node.effect.Decision
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import org.slf4j.spi.LoggingEventBuilder

private const val QUEUE_CAPACITY = 8_192
private const val FLUSH_TIMEOUT_MS = 1_000L

/** Logs each decision on a separate thread. Lines are dropped and counted while the queue is full. */
internal class DecisionLog(
    private val host: String,
) : AutoCloseable {
    private val logger: Logger = LoggerFactory.getLogger("decision")
    private val writer = BoundedExecutor("log", threads = 1, QUEUE_CAPACITY)

    /** Number of lines that wait to be written. */
    val queuedLines: Int
        get() = writer.queuedTasks

    /** Number of lines dropped since the start. */
    val droppedLines: Long
        get() = writer.rejectedTasks

    /** Queues a log line for [decision] without blocking. */
    fun write(decision: Decision) {
        writer.submit { logEvent(decision).log("decision") }
    }

    override fun close() = writer.shutdownAndAwait(FLUSH_TIMEOUT_MS)

    private fun logEvent(decision: Decision): LoggingEventBuilder =
        logger
            .atInfo()
            .addKeyValue("host", host)
            .addKeyValue("kind", decision.kind.wireName)
            .addKeyValue("reason", decision.reason)
            .withKeyValue("request", decision.request)
            .withKeyValue("workspace", decision.workspace)
            .withKeyValue("route", decision.route)
            .withKeyValue("region", decision.region)
            .withKeyValue("worker", decision.worker)
            .withKeyValue("outcome", decision.outcome)

    private fun LoggingEventBuilder.withKeyValue(
        key: String,
        value: Any?,
    ): LoggingEventBuilder = if (value == null) this else addKeyValue(key, value.toString())
}
