package io.kumquatmill.gateway.metrics

import io.kumquatmill.gateway.closing.LingeringEnd
import io.kumquatmill.gateway.http.ConnectionNeed
import io.kumquatmill.gateway.log.resultName
import io.kumquatmill.gateway.store.SharedWatch
import io.kumquatmill.traffic.admission.AdmissionDecision
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.StatedRateLimit
import io.kumquatmill.traffic.control.WorkerLoad
import io.kumquatmill.traffic.crash.CrashEvent
import io.kumquatmill.traffic.leaving.LeavingChange
import io.kumquatmill.traffic.pause.StatedPause
import io.kumquatmill.traffic.workerlimit.WorkerLimitChange
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Metrics of an entry host in the Prometheus text format. */
class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val requests = HashMap<Pair<String, String>, Counter>()
    private val attempts = HashMap<String, Counter>()
    private val connectionCounters =
        ConnectionNeed.entries.associateWith { registry.counter("kumquatmill.connections.needed", "reason", it.wireName) }
    private val readAheadCounters =
        ReadAheadEvent.entries.associateWith { registry.counter("kumquatmill.read.ahead", "event", it.wireName) }
    private val limitedWorkers = AtomicInteger().also { registry.gauge("kumquatmill.worker.limits", it) }
    private val usedSharedLoads = AtomicLong()
    private val quarantinedRequests = AtomicInteger().also { registry.gauge("kumquatmill.requests.quarantined", it) }
    private val cutOff = AtomicInteger().also { registry.gauge("kumquatmill.cut.off", it) }
    private val storeEra = AtomicLong().also { registry.gauge("kumquatmill.store.era", it) }
    private val unreadResponseBytes = AtomicLong().also { registry.gauge("kumquatmill.responses.unread.bytes", it) }
    private val lingeringConnections = AtomicInteger().also { registry.gauge("kumquatmill.connections.lingering", it) }
    private val storeAnswerAgeMs = AtomicLong()
    private val durations = HashMap<String, Timer>()

    init {
        FunctionCounter.builder("kumquatmill.worker.loads.shared", usedSharedLoads) { it.get().toDouble() }.register(registry)
        registry.gauge("kumquatmill.store.answer.age.seconds", storeAnswerAgeMs) { it.get() / MILLIS_PER_SECOND }
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    /** Counts a finished request by [route], the id of its route or "none", and [outcome]. */
    fun countRequest(
        route: String,
        outcome: String,
    ) = requests
        .getOrPut(route to outcome) { registry.counter("kumquatmill.requests", "route", route, "outcome", outcome) }
        .increment()

    /** Counts an attempt to send a request to a worker by its [result], and an answer that is not believed by the reason. */
    fun countAttempt(result: AttemptResult) {
        attempts.getOrPut(result.resultName) { registry.counter("kumquatmill.attempts", "result", result.resultName) }.increment()
        val doubt = (result as? AttemptResult.Unknown)?.doubt ?: return
        registry.counter("kumquatmill.answers.doubted", "reason", doubt.wireName).increment()
    }

    /** Counts a finished request by the [decision] of the admission by cost. */
    fun countAdmission(decision: AdmissionDecision) = registry.counter("kumquatmill.admissions", "decision", decision.wireName).increment()

    /** Counts a call to a worker, peer or the store that needs a new connection, by the reason. */
    fun countConnection(need: ConnectionNeed) = connectionCounters.getValue(need).increment()

    /** Counts a response that names the rate that its worker takes, or a limit that cannot be read. */
    fun countStatedLimit(stated: StatedRateLimit) {
        val kind =
            when (stated) {
                is StatedRateLimit.None -> return
                is StatedRateLimit.Named -> "named"
                is StatedRateLimit.Invalid -> "invalid"
            }
        registry.counter("kumquatmill.worker.limits.stated", "kind", kind).increment()
    }

    /** Counts the [load] that a response reports, by whether all its numbers of requests are legible, and by the speed if it states one. */
    fun countReportedLoad(load: WorkerLoad?) {
        if (load == null) return
        val isComplete = load.running != null && load.waiting != null && load.slots != null
        registry.counter("kumquatmill.worker.loads.reported", "kind", if (isComplete) "complete" else "partial").increment()
        val speed = if ((load.servicePercent ?: return) > USUAL_SERVICE_PERCENT) "slow" else "usual"
        registry.counter("kumquatmill.worker.speeds.reported", "kind", speed).increment()
    }

    /** Counts a [change] of a worker's rate limit. */
    fun countWorkerLimitChange(change: WorkerLimitChange) =
        registry.counter("kumquatmill.worker.limits.changes", "kind", if (change.limitPerS == null) "lifted" else "set").increment()

    /** Sets the number of workers that take only a limited rate of requests. */
    fun setLimitedWorkers(count: Int) = limitedWorkers.set(count)

    /** Sets the number of loads of workers that peers have reported and that this host has used since its start. */
    fun setUsedSharedLoads(count: Long) = usedSharedLoads.set(count)

    /** Sets the number of requests that are not sent to workers, because workers ended when they ran them. */
    fun setQuarantinedRequests(count: Int) = quarantinedRequests.set(count)

    /** Counts a worker that ended under a request, by the sign that shows it, or a change of a quarantine. */
    fun countCrashEvent(event: CrashEvent) =
        when (event) {
            is CrashEvent.WorkerEnded -> registry.counter("kumquatmill.worker.crashes", "sign", event.sign.wireName)
            is CrashEvent.QuarantineChanged ->
                registry.counter("kumquatmill.requests.quarantine.changes", "kind", if (event.isQuarantined) "set" else "lifted")
        }.increment()

    /** Counts a [change] of what this host knows about a worker that leaves. */
    fun countLeavingChange(change: LeavingChange) = registry.counter("kumquatmill.worker.leaving", "kind", change.kind.wireName).increment()

    /** Counts a refusal that names a time for which its worker wants no requests, or one that cannot be read. */
    fun countStatedPause(stated: StatedPause) {
        val kind =
            when (stated) {
                is StatedPause.None -> return
                is StatedPause.Named -> "named"
                is StatedPause.Invalid -> "invalid"
            }
        registry.counter("kumquatmill.worker.pauses.stated", "kind", kind).increment()
    }

    /** Counts a pause that this host keeps from now on. */
    fun countPause() = registry.counter("kumquatmill.worker.pauses").increment()

    /** Counts a store call that ended with [outcome]. */
    fun countStoreCall(outcome: String) = registry.counter("kumquatmill.store.calls", "outcome", outcome).increment()

    /** Counts a question for changes of the store to the reader of the zone, by its [result]. */
    internal fun countReaderAnswer(result: SharedWatch.Result) =
        registry.counter("kumquatmill.store.reader.answers", "result", result.name.lowercase()).increment()

    /** Counts a request that this host passed on for a peer, or refused to, by its [result]. */
    fun countRelay(result: String) = registry.counter("kumquatmill.relays", "result", result).increment()

    /** Counts an answer of the directory by whether it lists [hosts] chosen by capacity or all hosts, and the hosts that it lists. */
    fun countDirectoryAnswer(
        isByCapacity: Boolean,
        hosts: Int,
    ) {
        val kind = if (isByCapacity) "by-capacity" else "all"
        registry.counter("kumquatmill.directory.answers", "kind", kind).increment()
        registry.counter("kumquatmill.directory.hosts", "kind", kind).increment(hosts.toDouble())
    }

    /** Sets whether this host is cut off from all workers. */
    fun setCutOff(isCutOff: Boolean) = cutOff.set(if (isCutOff) 1 else 0)

    /** Sets the era of the store, which rises each time that the store comes back from an older copy. */
    fun setStoreEra(era: Long) = storeEra.set(era)

    /** Sets the time since the store last answered the watch of this host. */
    fun setStoreAnswerAge(ageMs: Long) = storeAnswerAgeMs.set(ageMs)

    /** Sets the bytes of the bodies of responses that callers have not read completely. */
    fun setUnreadResponseBytes(bytes: Long) = unreadResponseBytes.set(bytes)

    /** Sets the number of connections that wait for their peers to close them behind the last response. */
    fun setLingeringConnections(count: Int) = lingeringConnections.set(count)

    /** Counts a connection that has waited for its peer to close it, by the reason of its [end]. */
    fun countLingeringEnd(end: LingeringEnd) =
        registry.counter("kumquatmill.connections.lingering.ended", "reason", end.wireName).increment()

    /** Counts a caller's connection that was closed because the caller read its response slowest while responses took too much memory. */
    fun countClosedSlowCaller() = registry.counter("kumquatmill.callers.closed.slow").increment()

    /** Counts an [event] in the life of a request that is read ahead on a caller's connection. */
    fun countReadAhead(event: ReadAheadEvent) = readAheadCounters.getValue(event).increment()

    /** Counts idle caller connections that were closed because too many connections were open. */
    fun countClosedIdleConnections(closed: Int) = registry.counter("kumquatmill.callers.closed.idle").increment(closed.toDouble())

    /** Records [durationMs], the time from a request's arrival to its response, by [outcome]. */
    fun recordDuration(
        outcome: String,
        durationMs: Long,
    ) = durations
        .getOrPut(outcome) {
            Timer
                .builder("kumquatmill.request.duration")
                .tag("outcome", outcome)
                .publishPercentileHistogram()
                .minimumExpectedValue(Duration.ofMillis(MIN_DURATION_MS))
                .maximumExpectedValue(Duration.ofMillis(MAX_DURATION_MS))
                .register(registry)
        }.record(durationMs, TimeUnit.MILLISECONDS)

    private companion object {
        /** Bucket range of the histogram: from a locally generated rejection to the longest deadline. */
        const val MIN_DURATION_MS = 4L
        const val MAX_DURATION_MS = 12_000L
        const val MILLIS_PER_SECOND = 1_000.0
        const val USUAL_SERVICE_PERCENT = 100
    }
}
