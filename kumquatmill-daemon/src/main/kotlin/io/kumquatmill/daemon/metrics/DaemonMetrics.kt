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

/** Reasons that may tag a meter; others are free text. */
private val refusalReasons = RefusalReason.entries.map { it.wireName }.toSet()

/** What the daemon measures of itself, for Prometheus. */
internal class DaemonMetrics {
    private val prometheus = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val registry: MeterRegistry = prometheus
    private val values = ConcurrentHashMap<String, AtomicDouble>()

    /** Returns all meters as text. */
    fun text(): String = prometheus.scrape()

    /** Counts [decision], by what it decided and for whom. */
    fun count(decision: Decision) {
        val isEnd = decision.kind == DecisionKind.ANSWER || decision.kind == DecisionKind.REFUSE
        val name = if (isEnd) "kumquatmill.requests" else "kumquatmill.decisions"
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

    /** Measures the time from a request's arrival to the sending of its answer. */
    fun answered(
        status: Int,
        durationMs: Long,
    ) = Timer
        .builder("kumquatmill.request.duration")
        .tag("status", status.toString())
        .publishPercentileHistogram()
        .register(registry)
        .record(durationMs, TimeUnit.MILLISECONDS)

    /** Measures a call of the platform. */
    fun called(measurement: PlatformCallMeasurement) =
        registry
            .timer("kumquatmill.platform.calls", "call", measurement.call, "outcome", measurement.outcome)
            .record(measurement.durationMs, TimeUnit.MILLISECONDS)

    /** Shows the counters of the peer transport. */
    fun watchPeers(counters: PeerTransportCounters) {
        counter("kumquatmill.peer.messages", "sent") { counters.sentMessages }
        counter("kumquatmill.peer.messages", "received") { counters.receivedMessages }
        counter("kumquatmill.peer.messages", "dropped") { counters.droppedMessages }
        counter("kumquatmill.peer.bytes", "sent") { counters.sentBytes }
        counter("kumquatmill.peer.bytes", "received") { counters.receivedBytes }
        counter("kumquatmill.peer.connections", "opened") { counters.openedConnections }
        counter("kumquatmill.peer.connections", "silent") { counters.timedOutConnections }
        counter("kumquatmill.peer.frames", "malformed") { counters.malformedFrames }
    }

    /** Shows how much waits in the ring [name]. */
    fun watchRing(
        name: String,
        depth: () -> Number,
    ) {
        Gauge.builder("kumquatmill.ring.depth") { depth() }.tag("ring", name).register(registry)
    }

    /** Shows how much the ring [name] has refused or dropped. */
    fun watchDrops(
        name: String,
        drops: () -> Long,
    ) {
        FunctionCounter.builder("kumquatmill.ring.drops", this) { drops().toDouble() }.tag("ring", name).register(registry)
    }

    /** Shows the latest [status] of the node. */
    fun show(status: NodeStatus) {
        set("kumquatmill.requests.in.flight", status.inFlightRequests)
        set("kumquatmill.requests.queued", status.queuedRequests)
        set("kumquatmill.configuration.revision", status.configurationRevision)
        set("kumquatmill.roster.epoch", status.rosterEpoch)
        set("kumquatmill.standing", if (status.hasStanding) 1 else 0)
        set("kumquatmill.serves.keys", if (status.servesKeys) 1 else 0)
        status.shares.forEach { share ->
            val part = if (share.totalUnits == 0L) 0.0 else share.units.toDouble() / share.totalUnits
            set("kumquatmill.share", part, Tag.of("limit", share.limit))
        }
    }

    private fun set(
        name: String,
        value: Number,
        tag: Tag? = null,
    ) {
        val holder =
            values.computeIfAbsent("$name ${tag?.value}") {
                AtomicDouble().also { held -> Gauge.builder(name, held) { it.value }.tags(listOfNotNull(tag)).register(registry) }
            }
        holder.value = value.toDouble()
    }

    private fun counter(
        name: String,
        kind: String,
        value: () -> Long,
    ) {
        FunctionCounter.builder(name, this) { value().toDouble() }.tag("kind", kind).register(registry)
    }

    private class AtomicDouble {
        @Volatile
        var value: Double = 0.0
    }
}
