package io.kumquatmill.gateway.caller

import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.log.RequestLog
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.undertow.server.HttpServerExchange

/**
 * Closes connections of callers that read their responses too slowly, as [UnreadResponses] decides. Must be used on the event loop only.
 */
internal class SlowCallers(
    private val clock: MonotonicClock,
    private val metrics: GatewayMetrics,
    private val log: RequestLog,
    private val unread: UnreadResponses<HttpServerExchange> = UnreadResponses(),
) {
    /** Counts the response with a body of [bytes], whose sending on [exchange] has begun, until the caller has read it. */
    fun add(
        exchange: HttpServerExchange,
        bytes: Int,
    ) {
        unread.add(clock.nowMs(), exchange, bytes.toLong(), exchange.responseBytesSent)
        exchange.addExchangeCompleteListener { ended, next ->
            remove(ended)
            next.proceed()
        }
        if (unread.isExceeded) closeSlowest()
    }

    /** Ends the counting of the response on [exchange], because its connection is closed. */
    fun remove(exchange: HttpServerExchange) = unread.remove(exchange)

    /** Notes which callers have read on; called several times a second. */
    fun tick() {
        unread.observe(clock.nowMs()) { it.responseBytesSent }
        metrics.setUnreadResponseBytes(unread.totalBytes)
    }

    private fun closeSlowest() {
        tick()
        unread.takeExcess().forEach { exchange ->
            metrics.countClosedSlowCaller()
            log.slowCallerClosed(exchange.rawPath, exchange.responseBytesSent, exchange.responseContentLength)
            exchange.closeConnection()
        }
    }
}
