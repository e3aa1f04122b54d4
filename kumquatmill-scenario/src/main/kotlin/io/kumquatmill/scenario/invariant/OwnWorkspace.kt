package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "own-workspace"

/** Except on public routes, a request reaches workers only on behalf of the workspace to which its key is granted. */
fun ownWorkspace(bounds: InvariantBounds): Invariant =
    Invariant(NAME) { history ->
        val sent = history.observationsOf<Observation.RequestSent>().associateBy { it.request }
        history.observationsOf<Observation.AttemptArrived>().mapNotNull { arrival ->
            val request = sent.getValue(arrival.request)
            val isPublic =
                history.topology.routes
                    .first { it.id == request.route }
                    .isPublic
            val allowed = request.keyHash?.let { history.ownersOf(it, arrival.atMs, bounds) }.orEmpty()
            if (arrival.workspace in allowed || (isPublic && arrival.workspace == null)) return@mapNotNull null
            Violation(NAME, arrival.atMs, "${arrival.request} ran for ${arrival.workspace}, expected one of $allowed")
        }
    }

/**
 * Returns the workspaces to which [keyHash] may be granted on some host at [atMs].
 *
 * They come from all configurations accepted in the last [InvariantBounds.withdrawnKeyMs] and from the one accepted before them.
 */
private fun History.ownersOf(
    keyHash: KeyHash,
    atMs: Long,
    bounds: InvariantBounds,
): Set<WorkspaceId> {
    val accepted = observationsOf<Observation.ConfigurationAccepted>().filter { it.atMs <= atMs }
    val oldest = accepted.indexOfLast { it.atMs + bounds.withdrawnKeyMs < atMs }.coerceAtLeast(0)
    return accepted
        .drop(oldest)
        .flatMap { it.configuration.customers }
        .filter { keyHash in it.keyHashes }
        .map { it.workspace }
        .toSet()
}
