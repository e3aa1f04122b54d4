package io.kumquatmill.daemon.log

import io.kumquatmill.daemon.decision.DutyPool
import io.kumquatmill.node.effect.Decision
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import org.slf4j.spi.LoggingEventBuilder

private const val RING_CAPACITY = 8_192
private const val FLUSH_TIMEOUT_MS = 1_000L

/** Writes a line for each decision, on a thread of its own; lines that find the ring full are dropped and counted. */
internal class DecisionLog(
    private val host: String,
) : AutoCloseable {
    private val logger: Logger = LoggerFactory.getLogger("decision")
    private val writer = DutyPool("log", threads = 1, RING_CAPACITY)

    val depth: Int
        get() = writer.depth

    val dropped: Long
        get() = writer.refused

    fun write(decision: Decision) {
        writer.submit { line(decision).log("decision") }
    }

    override fun close() = writer.finish(FLUSH_TIMEOUT_MS)

    private fun line(decision: Decision): LoggingEventBuilder =
        logger
            .atInfo()
            .addKeyValue("host", host)
            .addKeyValue("kind", decision.kind.wireName)
            .addKeyValue("reason", decision.reason)
            .with("request", decision.request)
            .with("workspace", decision.workspace)
            .with("route", decision.route)
            .with("region", decision.region)
            .with("worker", decision.worker)
            .with("outcome", decision.outcome)

    private fun LoggingEventBuilder.with(
        key: String,
        value: Any?,
    ): LoggingEventBuilder = if (value == null) this else addKeyValue(key, value.toString())
}
