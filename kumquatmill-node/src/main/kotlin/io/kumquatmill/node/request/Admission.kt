package io.kumquatmill.node.request

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.configuration.current.ConfigurationSnapshot
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.node.event.NodeEvent
import io.kumquatmill.routing.model.Route
import io.kumquatmill.routing.route.RouteMatch
import io.kumquatmill.routing.route.RouteTable

/** Admits or refuses a new request by the route table, the configuration and the state of this host. */
internal class Admission(
    private val routes: RouteTable,
) {
    fun admit(
        event: NodeEvent.RequestArrived,
        snapshot: ConfigurationSnapshot?,
        readiness: HostReadiness,
    ): Either<RefusalReason, AdmittedRequest> =
        either {
            val route = findRoute(event).bind()
            ensure(!readiness.isStopping) { RefusalReason.HOST_STOPPING }
            ensureNotNull(snapshot) { RefusalReason.HOST_STARTING }
            ensure(readiness.hasStanding) { if (readiness.isStarting) RefusalReason.HOST_STARTING else RefusalReason.HOST_ISOLATED }
            val keyHash = event.keyHash
            if (keyHash == null) admitWithoutKey(route).bind() else admitWithKey(route, keyHash, snapshot, readiness).bind()
        }

    private fun findRoute(event: NodeEvent.RequestArrived): Either<RefusalReason, Route> =
        when (val match = routes.match(event.method, event.path)) {
            is RouteMatch.Matched -> match.route.right()
            is RouteMatch.UnknownRoute -> RefusalReason.ROUTE_UNKNOWN.left()
            is RouteMatch.MethodNotAllowed -> RefusalReason.METHOD_NOT_ALLOWED.left()
        }

    private fun admitWithoutKey(route: Route): Either<RefusalReason, AdmittedRequest> =
        if (route.isPublic) AdmittedRequest(route, workspace = null, plan = null).right() else RefusalReason.KEY_MISSING.left()

    private fun admitWithKey(
        route: Route,
        keyHash: KeyHash,
        snapshot: ConfigurationSnapshot,
        readiness: HostReadiness,
    ): Either<RefusalReason, AdmittedRequest> =
        either {
            if (route.isPublic) return admitWithoutKey(route)
            ensure(readiness.isConfigurationFresh) { RefusalReason.HOST_ISOLATED }
            val workspace = ensureNotNull(snapshot.workspaceOf(keyHash)) { RefusalReason.KEY_UNKNOWN }
            val plan = ensureNotNull(snapshot.planOf(workspace)) { RefusalReason.KEY_UNKNOWN }
            ensure(route.id in plan.routes) { RefusalReason.ROUTE_NOT_IN_PLAN }
            AdmittedRequest(route, workspace, plan)
        }
}
