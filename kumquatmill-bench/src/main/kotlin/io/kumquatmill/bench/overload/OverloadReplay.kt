package io.kumquatmill.bench.overload

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.RequestAction
import io.kumquatmill.traffic.control.RouteResolution
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.TrafficRequest
import io.kumquatmill.traffic.control.TrafficSettings
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.model.DesiredState
import io.kumquatmill.traffic.model.SteeringState
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Upstream
import io.kumquatmill.traffic.model.WeightedUpstream
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.model.Workspace
import kotlin.math.ln
import kotlin.random.Random

/** Replays a [LoadPattern] against the production decision logic of a fleet of entry hosts, in virtual time. */
internal class OverloadReplay(
    private val pattern: LoadPattern,
    private val policy: OverloadPolicy,
    private val seed: Int,
) {
    private class Host(
        val info: EntryHostInfo,
        val controller: TrafficController,
    )

    private val time = VirtualTime()
    private val random = Random(seed)
    private val statistics = ReplayStatistics()
    private val upstream = UpstreamId("pool")
    private val regionIdByZone = pattern.regionByZone.entries.associate { (zone, region) -> AvailabilityZoneId(zone) to RegionId(region) }
    private val workerEntries = pattern.workersByZone.flatMap { (zone, count) -> (1..count).map { workerEntry("$zone-$it", zone) } }
    private val emulators = workerEntries.associate { it.id to createEmulator(it.id.value) }
    private val routeByProfile = pattern.requestProfiles.associateWith(::routeOf)
    private val hosts = createHosts()
    private val workspaces =
        pattern.workspacePriorities.mapIndexed { index, priority ->
            Workspace(WorkspaceId("workspace-$index"), setOf("key-$index"), ratePerS = 0.0, burst = 0.0, priority, emptySet())
        }

    /** Replays the whole pattern once. */
    fun run(): ReplayResult {
        val state = SteeringState(desiredState(), workerEntries.associateBy { it.id }, emptySet())
        hosts.forEach { host ->
            host.controller.update(0, state)
            host.controller.updateHosts(0, hosts.map { it.info })
        }
        tick(1)
        pattern.regionByZone.keys.forEach { zone -> pattern.requestProfiles.forEach { profile -> scheduleNextRequest(zone, profile) } }
        time.runUntil(pattern.durationMs + pattern.requestProfiles.maxOf { it.deadlineMs })
        return statistics.result(pattern.name, policy.name, seed, emulators.values)
    }

    private fun tick(sequence: Long) {
        hosts.forEach { it.controller.tick(time.nowMs) }
        if (sequence * TICK_MS % hosts.first().controller.reportIntervalMs() == 0L) hosts.forEach { from -> sendReport(from, sequence) }
        time.after(TICK_MS) { tick(sequence + 1) }
    }

    private fun sendReport(
        from: Host,
        sequence: Long,
    ) {
        val host = from.info
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
                demandPerS = from.controller.demandPerS(time.nowMs),
                sharesPerMille = from.controller.sharesPerMille(),
                stalePeers = from.controller.stalePeers(time.nowMs),
            )
        val withLoads = report.copy(workerLoads = from.controller.workerLoads(time.nowMs))
        hosts.filter { it !== from }.forEach { to ->
            to.controller.onReport(time.nowMs, if (to.info.region == host.region) withLoads else report)
        }
    }

    private fun scheduleNextRequest(
        zone: String,
        profile: RequestProfile,
    ) {
        val requestsPerS = profile.requestsPerS * pattern.demandFactor(zone, time.nowMs)
        val interarrivalMs =
            if (requestsPerS <=
                0
            ) {
                MS_PER_S
            } else {
                -ln(random.nextDouble().coerceAtLeast(MIN_UNIFORM_SAMPLE)) / requestsPerS * MS_PER_S
            }
        time.after(interarrivalMs.toLong().coerceAtLeast(1)) {
            if (time.nowMs >= pattern.durationMs) return@after
            if (pattern.demandFactor(zone, time.nowMs) > 0) Caller(zone, profile).send()
            scheduleNextRequest(zone, profile)
        }
    }

    /** A caller that sends one request and retries it if it is refused. */
    private inner class Caller(
        private val zone: String,
        private val profile: RequestProfile,
    ) {
        private val startedAtMs = time.nowMs
        private val objectKey = "$zone/${profile.name}/${random.nextInt(profile.objectsPerZone)}"
        private val serviceTimeMs = profile.coldServiceTimeMs * (1 + SERVICE_TIME_SPREAD * (random.nextDouble() * 2 - 1))
        private val isSlow = profile.slowFraction > 0 && random.nextDouble() < profile.slowFraction
        private val slowFactor = if (isSlow) RequestProfile.SLOW_FACTOR else 1.0
        private val workspace = if (workspaces.isEmpty()) null else workspaces.random(random)
        private val region = pattern.regionByZone.getValue(zone)
        private var retriesLeft = MAX_CALLER_RETRIES

        fun send() {
            val host = hosts.filter { it.info.region == region }.random(random)
            val id = random.nextLong().toString()
            val resolution = RouteResolution.Resolved(routeByProfile.getValue(profile), workspace)
            val deadlineMs = profile.deadlineMs - (time.nowMs - startedAtMs)
            val (request, action) =
                host.controller.begin(
                    time.nowMs,
                    resolution,
                    if (policy.hasAffinityKeys && profile.hasAffinity) objectKey else null,
                    id,
                    deadlineMs,
                    RequestFingerprint(stableHash(id)),
                )
            if (request != null) time.after(deadlineMs) { onDeadline(host, request) }
            perform(host, request, action)
        }

        private fun perform(
            host: Host,
            request: TrafficRequest?,
            action: RequestAction,
        ) {
            when (action) {
                is RequestAction.Send -> sendTo(host, checkNotNull(request) { "Send without a request: expected one from begin" }, action)
                is RequestAction.Wait ->
                    time.after(
                        action.afterMs,
                    ) { resume(host, checkNotNull(request) { "Wait without a request: expected one from begin" }) }
                is RequestAction.Deliver ->
                    finish(
                        if (time.nowMs - startedAtMs <=
                            profile.targetLatencyMs
                        ) {
                            IN_TIME
                        } else {
                            ReplayStatistics.Outcome.LATE
                        },
                    )
                is RequestAction.Refuse -> onRefused(action.retryAfterMs)
                is RequestAction.Fail -> finish(ReplayStatistics.Outcome.FAILED)
            }
        }

        private fun resume(
            host: Host,
            request: TrafficRequest,
        ) {
            if (!isOver(request)) perform(host, request, host.controller.resume(time.nowMs, request))
        }

        private fun sendTo(
            host: Host,
            request: TrafficRequest,
            action: RequestAction.Send,
        ) {
            val target = action.worker.entry
            val targetRegion = regionIdByZone.getValue(target.availabilityZone).value
            statistics.recordAttempt(time.nowMs, region, targetRegion)
            val oneWayMs = if (targetRegion == region) LOCAL_ONE_WAY_MS else CROSS_REGION_ONE_WAY_MS
            time.after(oneWayMs) {
                val worker = emulators.getValue(target.id)
                val cancel =
                    worker.submit(objectKey, serviceTimeMs * slowFactor) { load ->
                        time.after(oneWayMs) { onResult(host, request, AttemptResult.Answered(OK, load)) }
                    }
                if (cancel == null) {
                    val load = worker.load
                    time.after(oneWayMs) { onResult(host, request, AttemptResult.Shed(load)) }
                }
            }
        }

        private fun onResult(
            host: Host,
            request: TrafficRequest,
            result: AttemptResult,
        ) {
            if (!isOver(request)) perform(host, request, host.controller.onResult(time.nowMs, request, result))
        }

        private fun onDeadline(
            host: Host,
            request: TrafficRequest,
        ) {
            if (isOver(request)) return
            host.controller.abandon(time.nowMs, request, isWorkerSlow = true)
            finish(ReplayStatistics.Outcome.FAILED)
        }

        private var isEnded = false

        private fun isOver(request: TrafficRequest): Boolean = isEnded || time.nowMs > request.deadlineAtMs

        private fun onRefused(retryAfterMs: Long) {
            val leftMs = profile.deadlineMs - (time.nowMs - startedAtMs)
            if (retriesLeft-- > 0 &&
                retryAfterMs < leftMs
            ) {
                time.after(retryAfterMs) { send() }
            } else {
                finish(ReplayStatistics.Outcome.REFUSED)
            }
        }

        private fun finish(outcome: ReplayStatistics.Outcome) {
            if (isEnded) return
            isEnded = true
            statistics.recordOutcome(zone, workspace?.priority, profile, outcome)
        }
    }

    private fun createHosts(): List<Host> {
        val zones = pattern.regionByZone.keys.toList()
        return (0 until pattern.hosts).map { createHost(zones[it % zones.size], "${zones[it % zones.size]}-host-${it / zones.size + 1}") }
    }

    private fun createHost(
        zone: String,
        name: String,
    ): Host {
        val self = EntryHostInfo(name, "10.0.0.1", pattern.regionByZone.getValue(zone), zone)
        val settings =
            TrafficSettings(
                regionByZone = regionIdByZone,
                retryRatio = RETRY_RATIO,
                retryReserve = RETRY_RESERVE,
                retryWindowMs = RETRY_WINDOW_MS,
                coldRateFactor = 1.5,
                coldRateSlack = 8.0,
                placement = policy.placement,
                admission = policy.admission,
            )
        return Host(self, TrafficController(self, settings))
    }

    private fun createEmulator(name: String) =
        WorkerEmulator(pattern.workerProfile, time, pattern.reportsSpeed) { pattern.slownessFactor(name, time.nowMs) }

    private fun workerEntry(
        name: String,
        zone: String,
    ) = WorkerEntry(
        id = WorkerId(name),
        upstream = upstream,
        address = HostAddress("10.0.0.2", 1),
        availabilityZone = AvailabilityZoneId(zone),
        slots = pattern.workerProfile.slots,
        isDraining = false,
        warmUpRemainingMs = 0,
        startedAtMs = 1,
        revision = 1,
    )

    private fun routeOf(profile: RequestProfile) =
        TrafficRoute(
            id = RouteId(profile.name),
            host = "shop.example",
            pathPrefix = "/${profile.name}/",
            weightedUpstreams = listOf(WeightedUpstream(upstream, 1.0)),
            isIdempotent = profile.isIdempotent,
            isPublic = true,
            hasAffinity = profile.hasAffinity,
            timeoutMs = null,
            targetLatencyMs = profile.targetLatencyMs,
            maxAttempts = 2,
            priority = profile.priority,
            homeRegions = emptySet(),
            isBulk = profile.isBulk,
        )

    private fun desiredState() =
        DesiredState(
            version = 1,
            routes = routeByProfile.values.toList(),
            workspaces = workspaces,
            isKeyRequired = false,
            upstreams = mapOf(upstream to Upstream(upstream, maxConnections = 400, coldMs = 0, coldRatePerS = 0.0)),
            maxBodyBytes = 1_000_000,
        )

    private companion object {
        val IN_TIME = ReplayStatistics.Outcome.IN_TIME
        const val OK = 200
        const val MS_PER_S = 1_000.0
        const val MIN_UNIFORM_SAMPLE = 1e-9
        const val TICK_MS = 250L
        const val LOCAL_ONE_WAY_MS = 1L
        const val CROSS_REGION_ONE_WAY_MS = 36L
        const val SERVICE_TIME_SPREAD = 0.15

        /** Maximum number of retries of a caller whose request was refused. */
        const val MAX_CALLER_RETRIES = 1
        const val RETRY_RATIO = 0.2
        const val RETRY_RESERVE = 40.0
        const val RETRY_WINDOW_MS = 10_000L
    }
}
