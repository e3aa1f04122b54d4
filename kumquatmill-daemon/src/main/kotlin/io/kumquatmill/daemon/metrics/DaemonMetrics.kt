package io.kumquatmill.daemon.metrics

import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.node.NodeStatus
import io.kumquatmill.node.effect.Decision
import io.kumquatmill.node.effect.DecisionKind
import io.kumquatmill.platform.PlatformCallMeasurement
import io.kumquatmill.wire.PeerTransportCounters
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

private const val NONE = "none"

/** Reasons that are used as a tag value. All other reasons are free text and are tagged `none`. */
private val refusalReasons = RefusalReason.entries.map { it.wireName }.toSet()

/** The daemon's Prometheus metrics. */
internal class DaemonMetrics {
    private val prometheus = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val registry: MeterRegistry = prometheus
    private val gaugeValues = ConcurrentHashMap<String, GaugeValue>()

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = prometheus.scrape()

    /** Counts [decision] by kind, outcome, reason, route and workspace. */
    fun countDecision(decision: Decision) {
        val isFinal = decision.kind == DecisionKind.ANSWER || decision.kind == DecisionKind.REFUSE
        val name = if (isFinal) "kumquatmill.requests" else "kumquatmill.decisions"
        val tags =
            listOf(
                Tag.of("kind", decision.kind.wireName),
                Tag.of("outcome", decision.outcome ?: NONE),
                Tag.of("reason", if (decision.reason in refusalReasons) decision.reason else NONE),
                Tag.of("route", decision.route?.value ?: NONE),
                Tag.of("workspace", decision.workspace?.value ?: NONE),
            )
        registry.counter(name, tags).increment()
    }

    /** Records the time from a request's arrival until its response is sent, by HTTP [status]. */
    fun recordResponse(
        status: Int,
        durationMs: Long,
    ) = Timer
        .builder("kumquatmill.request.duration")
        .tag("status", status.toString())
        .publishPercentileHistogram()
        .register(registry)
        .record(durationMs, TimeUnit.MILLISECONDS)

    /** Records the duration of a call to the platform. */
    fun recordPlatformCall(measurement: PlatformCallMeasurement) =
        registry
            .timer("kumquatmill.platform.calls", "call", measurement.call, "outcome", measurement.outcome)
            .record(measurement.durationMs, TimeUnit.MILLISECONDS)

    /** Registers the [counters] of the peer transport. */
    fun registerPeerTransport(counters: PeerTransportCounters) {
        registerCounter("kumquatmill.peer.messages", "sent") { counters.sentMessages }
        registerCounter("kumquatmill.peer.messages", "received") { counters.receivedMessages }
        registerCounter("kumquatmill.peer.messages", "dropped") { counters.droppedMessages }
        registerCounter("kumquatmill.peer.bytes", "sent") { counters.sentBytes }
        registerCounter("kumquatmill.peer.bytes", "received") { counters.receivedBytes }
        registerCounter("kumquatmill.peer.connections", "opened") { counters.openedConnections }
        registerCounter("kumquatmill.peer.connections", "silent") { counters.timedOutConnections }
        registerCounter("kumquatmill.peer.frames", "malformed") { counters.malformedFrames }
    }

    /** Registers a gauge of the number of items in the queue [name]. */
    fun registerQueueDepth(
        name: String,
        depth: () -> Number,
    ) {
        Gauge.builder("kumquatmill.ring.depth") { depth() }.tag("ring", name).register(registry)
    }

    /** Registers a counter of the items that the queue [name] rejected or dropped. */
    fun registerDropCount(
        name: String,
        drops: () -> Long,
    ) {
        FunctionCounter.builder("kumquatmill.ring.drops", this) { drops().toDouble() }.tag("ring", name).register(registry)
    }

    /** Updates the gauges of the node's [status]. */
    fun updateStatus(status: NodeStatus) {
        setGauge("kumquatmill.requests.in.flight", status.inFlightRequests)
        setGauge("kumquatmill.requests.queued", status.queuedRequests)
        setGauge("kumquatmill.configuration.revision", status.configurationRevision)
        setGauge("kumquatmill.roster.epoch", status.rosterEpoch)
        setGauge("kumquatmill.standing", if (status.hasStanding) 1 else 0)
        setGauge("kumquatmill.serves.keys", if (status.servesKeys) 1 else 0)
        status.shares.forEach { share ->
            val fraction = if (share.totalUnits == 0L) 0.0 else share.units.toDouble() / share.totalUnits
            setGauge("kumquatmill.share", fraction, Tag.of("limit", share.limit))
        }
    }

    private fun setGauge(
        name: String,
        value: Number,
        tag: Tag? = null,
    ) {
        val gaugeValue =
            gaugeValues.computeIfAbsent("$name ${tag?.value}") {
                GaugeValue().also { created -> Gauge.builder(name, created) { it.value }.tags(listOfNotNull(tag)).register(registry) }
            }
        gaugeValue.value = value.toDouble()
    }

    private fun registerCounter(
        name: String,
        kind: String,
        value: () -> Long,
    ) {
        FunctionCounter.builder(name, this) { value().toDouble() }.tag("kind", kind).register(registry)
    }

    private class GaugeValue {
        @Volatile
        var value: Double = 0.0
    }
}
