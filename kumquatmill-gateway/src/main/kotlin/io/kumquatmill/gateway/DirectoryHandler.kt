package io.kumquatmill.gateway

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.gateway.log.EventLog
import io.kumquatmill.gateway.metrics.GatewayMetrics
import io.kumquatmill.gateway.settings.GatewaySettings
import io.kumquatmill.traffic.control.TrafficController
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange

/** Answers callers that look up the hosts to use. */
internal class DirectoryHandler(
    private val settings: GatewaySettings,
    private val adapter: GatewayAdapter,
    private val controller: TrafficController,
    private val metrics: GatewayMetrics,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val isServing: () -> Boolean,
) : HttpHandler {
    private var wasByCapacity = false

    override fun handleRequest(exchange: HttpServerExchange) {
        if (exchange.requestPath != adapter.directoryPath) return exchange.respond(NOT_FOUND)
        val region = exchange.queryParameters[adapter.regionParameter]?.firstOrNull().orEmpty()
        val callerIp = exchange.sourceAddress.address.hostAddress
        val answer = controller.directory(clock.nowMs(), region, isServing(), callerIp)
        val hosts = answer.hosts.take(MAX_ADDRESSES)
        metrics.countDirectoryAnswer(answer.isByCapacity, hosts.size)
        logChange(region, answer.isByCapacity)
        if (hosts.isEmpty()) return exchange.respond(UNAVAILABLE)
        val addresses = hosts.map { HostAddress(it.ip, settings.callerAddress.port).toString() }
        exchange.respond(OK, adapter.encodeDirectoryResponse(addresses, settings.directoryTtlS))
    }

    /** Logs when answers start or stop to depend on capacity. Only for the host's own region, as callers may name any number of others. */
    private fun logChange(
        region: String,
        isByCapacity: Boolean,
    ) {
        if (region != settings.self.region || isByCapacity == wasByCapacity) return
        wasByCapacity = isByCapacity
        log.info("directory selection changed", "region" to region, "isByCapacity" to isByCapacity)
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503

        /** Callers read at most this many addresses. */
        const val MAX_ADDRESSES = 64
    }
}
