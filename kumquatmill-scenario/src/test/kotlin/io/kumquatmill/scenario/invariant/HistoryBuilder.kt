package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.routing.model.Link
import io.kumquatmill.routing.model.Route
import io.kumquatmill.routing.model.ShiftCap
import io.kumquatmill.routing.model.Topology
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation
import kotlin.test.assertEquals

/** Two regions, each with a worker with two slots, links of 1 Mbit/s and a shift cap of 5 requests per second. */
internal val testTopology: Topology =
    Topology(
        routes =
            listOf(
                route("read", isIdempotent = true),
                route("write", isIdempotent = false),
                route("public", isIdempotent = true, isPublic = true),
            ),
        workers = listOf(worker("w1", "east"), worker("w2", "west")),
        links = listOf(link("east", "west"), link("west", "east")),
        shiftCap = ShiftCap(requestsPerS = 5.0, intervalMs = 1_000, lookbackIntervals = 2),
    )

private fun route(
    id: String,
    isIdempotent: Boolean,
    isPublic: Boolean = false,
) = Route(RouteId(id), "/$id", setOf("GET"), UpstreamId("u"), isIdempotent, isPublic)

private fun worker(
    id: String,
    region: String,
) = Worker(WorkerId(id), UpstreamId("u"), RegionId(region), AvailabilityZoneId("$region-1"), HostAddress("127.0.0.1", 1), slots = 2)

private fun link(
    from: String,
    to: String,
) = Link(RegionId(from), RegionId(to), megabitsPerS = 1.0)

/** Builds a history; observations are sorted by time, and those with the same time keep the order in which they were added. */
internal class HistoryBuilder {
    private val observations = mutableListOf<Observation>()
    private var revision = 0L
    private var arrivals = 0

    fun sent(
        atMs: Long,
        request: String,
        route: String = "read",
        key: String? = "key",
        host: String = "h1",
    ) = add(
        Observation.RequestSent(
            atMs,
            RequestId(request),
            HostId(host),
            RegionId("east"),
            key?.let(KeyHash::of),
            workspace = null,
            RouteId(route),
        ),
    )

    fun arrived(
        atMs: Long,
        request: String = "arrival-${++arrivals}",
        worker: String = "w1",
        workerRegion: String = "east",
        hostRegion: String = "east",
        workspace: String? = "acme",
        bytes: Long = 0,
    ) = add(
        Observation.AttemptArrived(
            atMs,
            RequestId(request),
            WorkerId(worker),
            RegionId(workerRegion),
            HostId("h1"),
            RegionId(hostRegion),
            workspace?.let(::WorkspaceId),
            bytes,
        ),
    )

    fun started(
        atMs: Long,
        request: String,
        worker: String = "w1",
    ) = add(Observation.RunStarted(atMs, RequestId(request), WorkerId(worker)))

    fun ended(
        atMs: Long,
        request: String,
        worker: String = "w1",
    ) = add(Observation.RunEnded(atMs, RequestId(request), WorkerId(worker)))

    fun responseSent(
        atMs: Long,
        workerRegion: String,
        hostRegion: String,
        bytes: Long,
    ) = add(Observation.ResponseSent(atMs, RequestId("r"), RegionId(workerRegion), RegionId(hostRegion), bytes))

    fun answered(
        atMs: Long,
        request: String,
        outcome: Outcome = Outcome.Answered(200),
        respondedRequest: String? = request,
    ) = add(Observation.ResponseReceived(atMs, RequestId(request), outcome, respondedRequest?.let(::RequestId)))

    fun refused(
        atMs: Long,
        request: String,
    ) = answered(atMs, request, Outcome.NotRun(RefusalReason.NO_CAPACITY, 500), respondedRequest = null)

    fun disconnected(
        atMs: Long,
        request: String,
        hasTimedOut: Boolean = false,
        host: String = "h1",
    ) = add(Observation.CallerDisconnected(atMs, RequestId(request), HostId(host), hasTimedOut))

    fun configurationAccepted(
        atMs: Long,
        configuration: OperatorConfiguration = OperatorConfiguration(),
    ) = add(Observation.ConfigurationAccepted(atMs, ++revision, configuration))

    fun inForce(
        atMs: Long,
        revision: Long,
        host: String = "h1",
    ) = add(Observation.RevisionInForce(atMs, HostId(host), revision))

    fun workerLeaving(
        atMs: Long,
        worker: String = "w1",
    ) = add(Observation.WorkerLeaving(atMs, WorkerId(worker)))

    fun hostStopping(atMs: Long) = add(Observation.HostStopping(atMs, HostId("h1")))

    fun hostEnded(
        atMs: Long,
        wasKilled: Boolean,
    ) = add(Observation.HostEnded(atMs, HostId("h1"), wasKilled))

    fun hostStarted(atMs: Long) = add(Observation.HostStarted(atMs, HostId("h1")))

    fun build(): History =
        observations
            .sortedBy { it.atMs }
            .let { History(testTopology, it, endMs = it.lastOrNull()?.atMs ?: 0) }

    private fun add(observation: Observation) {
        observations += observation
    }
}

internal fun history(build: HistoryBuilder.() -> Unit): History = HistoryBuilder().apply(build).build()

/** Returns a configuration in which the plan of workspace `acme` has [ratePerS] and [burst]. */
internal fun planConfiguration(
    ratePerS: Double,
    burst: Int,
): OperatorConfiguration =
    OperatorConfiguration(
        listOf(Plan(PlanId("plan"), ratePerS, burst, setOf(RouteId("read")))),
        listOf(Customer(WorkspaceId("acme"), PlanId("plan"))),
    )

/** Returns a configuration in which each workspace has the given keys. */
internal fun keyConfiguration(vararg keysByWorkspace: Pair<String, Set<String>>): OperatorConfiguration =
    OperatorConfiguration(
        listOf(Plan(PlanId("plan"), 1.0, 1, setOf(RouteId("read")))),
        keysByWorkspace.map { (workspace, keys) -> Customer(WorkspaceId(workspace), PlanId("plan"), keys.map(KeyHash::of).toSet()) },
    )

/** Asserts that the check of [history] finds no violation. */
internal infix fun Invariant.accepts(history: History) = assertEquals(emptyList(), check(history).map { it.toString() })

/** Asserts that the check of [history] finds exactly the [expected] violations, given as time in milliseconds and detail. */
internal fun Invariant.rejects(
    history: History,
    vararg expected: Pair<Long, String>,
) = assertEquals(expected.map { (atMs, detail) -> Violation(name, atMs, detail) }, check(history))
