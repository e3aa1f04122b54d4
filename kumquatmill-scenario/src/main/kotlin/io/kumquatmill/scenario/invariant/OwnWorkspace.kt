package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "own-workspace"

/** Except on open routes, a request reaches workers only under the workspace whose key came with it. */
fun ownWorkspace(bounds: InvariantBounds): Invariant =
    Invariant(NAME) { history ->
        val sent = history.all<Observation.RequestSent>().associateBy { it.request }
        history.all<Observation.AttemptArrived>().mapNotNull { arrival ->
            val request = sent.getValue(arrival.request)
            val isOpen =
                history.topology.routes
                    .first { it.id == request.route }
                    .isPublic
            val allowed = request.keyHash?.let { history.ownersOf(it, arrival.atMs, bounds) }.orEmpty()
            if (arrival.workspace in allowed || (isOpen && arrival.workspace == null)) return@mapNotNull null
            Violation(NAME, arrival.atMs, "${arrival.request} ran for ${arrival.workspace}, expected one of $allowed")
        }
    }

/** Returns the workspaces that may own [keyHash] at [atMs]: as accepted, or as accepted up to the spreading time before. */
private fun History.ownersOf(
    keyHash: KeyHash,
    atMs: Long,
    bounds: InvariantBounds,
): Set<WorkspaceId> {
    val accepted = all<Observation.ListsAccepted>().filter { it.atMs <= atMs }
    val oldest = accepted.indexOfLast { it.atMs + bounds.withdrawnKeyMs < atMs }.coerceAtLeast(0)
    return accepted
        .drop(oldest)
        .flatMap { it.lists.customers }
        .filter { keyHash in it.keyHashes }
        .map { it.workspace }
        .toSet()
}
