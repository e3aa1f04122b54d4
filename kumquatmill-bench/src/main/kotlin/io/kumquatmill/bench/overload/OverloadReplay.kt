package io.kumquatmill.bench.overload

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RequestAction
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.control.TrafficSettings
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.model.DesiredState
import io.kumquatmill.traffic.model.SteeringState
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Upstream
import io.kumquatmill.traffic.model.WeightedUpstream
import io.kumquatmill.traffic.model.WorkerEntry
import kotlin.math.ln
import kotlin.random.Random

/** Plays a [LoadPattern] against the real decisions of a fleet of entry hosts, in virtual time. */
internal class OverloadReplay(
    private val pattern: LoadPattern,
    private val policy: OverloadPolicy,
    private val seed: Int,
) {
    private class Host(
        val record: EntryHostInfo,
        val desk: TrafficController,
    )

    private val time = VirtualTime()
    private val random = Random(seed)
    private val record = ReplayRecord()
    private val upstream = UpstreamId("pool")
    private val regions = pattern.zones.entries.associate { (zone, region) -> AvailabilityZoneId(zone) to RegionId(region) }
    private val entries = pattern.workers.flatMap { (zone, count) -> (1..count).map { workerEntry("$zone-$it", zone) } }
    private val workers = entries.associate { it.id to emulator(it.id.value) }
    private val routes = pattern.calls.associateWith(::routeOf)
    private val hosts = pattern.zones.keys.flatMap { zone -> (1..pattern.hostsPerZone).map { hostIn(zone, "$zone-host-$it") } }

    /** Plays the whole pattern once. */
    fun run(): ReplayResult {
        val state = SteeringState(desiredState(), entries.associateBy { it.id }, emptySet())
        hosts.forEach { host ->
            host.desk.update(0, state)
            host.desk.updateHosts(0, hosts.map { it.record })
        }
        tick(1)
        pattern.zones.keys.forEach { zone -> pattern.calls.forEach { call -> nextCall(zone, call) } }
        time.runUntil(pattern.durationMs + pattern.calls.maxOf { it.deadlineMs })
        return record.result(pattern.name, policy.name, seed, workers.values)
    }

    private fun tick(sequence: Long) {
        hosts.forEach { it.desk.tick(time.nowMs) }
        if (sequence % TICKS_PER_REPORT == 0L) hosts.forEach { from -> report(from, sequence) }
        time.after(TICK_MS) { tick(sequence + 1) }
    }

    private fun report(
        from: Host,
        sequence: Long,
    ) {
        val host = from.record
        val report =
            PeerReport(
                host = host.host,
                incarnation = 1,
                sequence = sequence,
                ip = host.ip,
                region = host.region,
                availabilityZone = host.availabilityZone,
                storeRevision = 1,
                isServing = true,
                demandPerS = from.desk.demandPerS(time.nowMs),
                sharesPerMille = from.desk.sharesPerMille(),
                stalePeers = from.desk.stalePeers(time.nowMs),
            )
        hosts.filter { it !== from }.forEach { it.desk.onReport(time.nowMs, report) }
    }

    private fun nextCall(
        zone: String,
        call: CallFigures,
    ) {
        val perSecond = call.perSecond * pattern.demand(zone, time.nowMs)
        val pauseMs =
            if (perSecond <=
                0
            ) {
                MILLIS_PER_SECOND
            } else {
                -ln(random.nextDouble().coerceAtLeast(TINY)) / perSecond * MILLIS_PER_SECOND
            }
        time.after(pauseMs.toLong().coerceAtLeast(1)) {
            if (time.nowMs >= pattern.durationMs) return@after
            if (pattern.demand(zone, time.nowMs) > 0) Caller(zone, call).send()
            nextCall(zone, call)
        }
    }

    /** A caller's request with all its attempts. */
    private inner class Caller(
        private val zone: String,
        private val call: CallFigures,
    ) {
        private val startedAtMs = time.nowMs
        private val objectKey = "$zone/${call.name}/${random.nextInt(call.objects)}"
        private val workMs = call.workMs * (1 + WORK_SPREAD * (random.nextDouble() * 2 - 1))
        private val region = pattern.zones.getValue(zone)
        private var retriesLeft = RETRIES

        fun send() {
            val host = hosts.filter { it.record.region == region }.random(random)
            val id = random.nextLong().toString()
            val known = RouteResolution.Resolved(routes.getValue(call), workspace = null)
            val deadlineMs = call.deadlineMs - (time.nowMs - startedAtMs)
            val (request, action) = host.desk.begin(time.nowMs, known, if (policy.hasKeys) objectKey else null, id, deadlineMs)
            if (request != null) time.after(deadlineMs) { timeUp(host, request) }
            perform(host, request, action)
        }

        private fun perform(
            host: Host,
            request: TrafficRequest?,
            action: RequestAction,
        ) {
            when (action) {
                is RequestAction.Send -> sendTo(host, checkNotNull(request) { "an action to send comes with its request" }, action)
                is RequestAction.Wait ->
                    time.after(
                        action.afterMs,
                    ) { resume(host, checkNotNull(request) { "a wait comes with its request" }) }
                is RequestAction.Deliver -> ended(if (time.nowMs - startedAtMs <= call.targetMs) IN_TIME else ReplayRecord.Outcome.LATE)
                is RequestAction.Refuse -> refused(action.retryAfterMs)
                is RequestAction.Fail -> ended(ReplayRecord.Outcome.FAILED)
            }
        }

        private fun resume(
            host: Host,
            request: TrafficRequest,
        ) {
            if (!isOver(request)) perform(host, request, host.desk.resume(time.nowMs, request))
        }

        private fun sendTo(
            host: Host,
            request: TrafficRequest,
            action: RequestAction.Send,
        ) {
            val target = action.worker.entry
            val targetRegion = regions.getValue(target.availabilityZone).value
            record.sent(time.nowMs, region, targetRegion)
            val wayMs = if (targetRegion == region) LOCAL_WAY_MS else REMOTE_WAY_MS
            time.after(wayMs) {
                val worker = workers.getValue(target.id)
                val offered =
                    worker.offer(objectKey, workMs) { load ->
                        time.after(wayMs) { onResult(host, request, AttemptResult.Answered(OK, load)) }
                    }
                if (offered == null) {
                    val load = worker.load
                    time.after(wayMs) { onResult(host, request, AttemptResult.Shed(load)) }
                }
            }
        }

        private fun onResult(
            host: Host,
            request: TrafficRequest,
            result: AttemptResult,
        ) {
            if (!isOver(request)) perform(host, request, host.desk.onResult(time.nowMs, request, result))
        }

        private fun timeUp(
            host: Host,
            request: TrafficRequest,
        ) {
            if (isOver(request)) return
            host.desk.abandon(time.nowMs, request, isWorkerSlow = true)
            ended(ReplayRecord.Outcome.FAILED)
        }

        private var isEnded = false

        private fun isOver(request: TrafficRequest): Boolean = isEnded || time.nowMs > request.deadlineAtMs

        private fun refused(retryAfterMs: Long) {
            val leftMs = call.deadlineMs - (time.nowMs - startedAtMs)
            if (retriesLeft-- > 0 && retryAfterMs < leftMs) time.after(retryAfterMs) { send() } else ended(ReplayRecord.Outcome.REFUSED)
        }

        private fun ended(outcome: ReplayRecord.Outcome) {
            if (isEnded) return
            isEnded = true
            record.ended(zone, call, outcome)
        }
    }

    private fun hostIn(
        zone: String,
        name: String,
    ): Host {
        val self = EntryHostInfo(name, "10.0.0.1", pattern.zones.getValue(zone), zone)
        val settings =
            TrafficSettings(
                regionByZone = regions,
                retryRatio = RETRY_RATIO,
                retryReserve = RETRY_RESERVE,
                retryWindowMs = RETRY_WINDOW_MS,
                coldRateFactor = 1.5,
                coldRateSlack = 8.0,
                placement = policy.placement,
            )
        return Host(self, TrafficController(self, settings))
    }

    private fun emulator(name: String) = WorkerEmulator(pattern.worker, time) { pattern.slowness(name, time.nowMs) }

    private fun workerEntry(
        name: String,
        zone: String,
    ) = WorkerEntry(
        id = WorkerId(name),
        upstream = upstream,
        address = HostAddress("10.0.0.2", 1),
        availabilityZone = AvailabilityZoneId(zone),
        slots = pattern.worker.slots,
        isDraining = false,
        warmUpRemainingMs = 0,
        startedAtMs = 1,
        revision = 1,
    )

    private fun routeOf(call: CallFigures) =
        TrafficRoute(
            id = RouteId(call.name),
            host = "shop.example",
            pathPrefix = "/${call.name}/",
            weightedUpstreams = listOf(WeightedUpstream(upstream, 1.0)),
            isIdempotent = call.isRepeatable,
            isPublic = true,
            hasAffinity = true,
            timeoutMs = null,
            targetLatencyMs = call.targetMs,
            maxAttempts = 2,
            priority = call.priority,
            homeRegions = emptySet(),
        )

    private fun desiredState() =
        DesiredState(
            version = 1,
            routes = routes.values.toList(),
            workspaces = emptyList(),
            upstreams = mapOf(upstream to Upstream(upstream, maxConnections = 400, coldMs = 0, coldRatePerS = 0.0)),
            maxBodyBytes = 1_000_000,
        )

    private companion object {
        val IN_TIME = ReplayRecord.Outcome.IN_TIME
        const val OK = 200
        const val MILLIS_PER_SECOND = 1_000.0
        const val TINY = 1e-9
        const val TICK_MS = 250L
        const val TICKS_PER_REPORT = 2L
        const val LOCAL_WAY_MS = 1L
        const val REMOTE_WAY_MS = 36L
        const val WORK_SPREAD = 0.15

        /** Times that a refused caller comes back. */
        const val RETRIES = 1
        const val RETRY_RATIO = 0.2
        const val RETRY_RESERVE = 40.0
        const val RETRY_WINDOW_MS = 10_000L
    }
}
