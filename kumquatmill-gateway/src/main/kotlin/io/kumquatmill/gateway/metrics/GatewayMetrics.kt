package io.kumquatmill.gateway.metrics

import io.kumquatmill.gateway.log.wireName
import io.kumquatmill.traffic.control.AttemptResult
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit

/** What an entry host measures of itself, as text for Prometheus. */
class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val requests = HashMap<Pair<String, String>, Counter>()
    private val attempts = HashMap<String, Counter>()
    private val durations = HashMap<String, Timer>()

    /** Returns all meters as text. */
    fun text(): String = registry.scrape()

    /** Counts a finished request. */
    fun countRequest(
        route: String,
        outcome: String,
    ) = requests
        .getOrPut(route to outcome) { registry.counter("kumquatmill.requests", "route", route, "outcome", outcome) }
        .increment()

    /** Counts a sending to a worker. */
    fun countAttempt(result: AttemptResult) =
        attempts.getOrPut(result.wireName) { registry.counter("kumquatmill.attempts", "result", result.wireName) }.increment()

    /** Counts a call of the store that ended as [outcome]. */
    fun countStoreCall(outcome: String) = registry.counter("kumquatmill.store.calls", "outcome", outcome).increment()

    /** Counts idle connections of callers that were closed to make room. */
    fun countClosedIdle(closed: Int) = registry.counter("kumquatmill.callers.closed.idle").increment(closed.toDouble())

    /** Measures the time from a request's arrival to its answer. */
    fun recordDuration(
        outcome: String,
        tookMs: Long,
    ) = durations
        .getOrPut(outcome) {
            Timer
                .builder("kumquatmill.request.duration")
                .tag("outcome", outcome)
                .publishPercentileHistogram()
                .minimumExpectedValue(Duration.ofMillis(LEAST_MS))
                .maximumExpectedValue(Duration.ofMillis(MOST_MS))
                .register(registry)
        }.record(tookMs, TimeUnit.MILLISECONDS)

    private companion object {
        /** Range of the buckets: from an own refusal to the longest deadline. */
        const val LEAST_MS = 4L
        const val MOST_MS = 12_000L
    }
}
