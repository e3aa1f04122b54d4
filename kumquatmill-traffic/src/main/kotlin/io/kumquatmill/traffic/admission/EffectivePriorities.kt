package io.kumquatmill.traffic.admission

import io.kumquatmill.traffic.model.DesiredState
import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Workspace
import kotlin.math.min

/**
 * Ranks of requests by the priority of their route, then by that of their workspace; rank 0 is the most urgent.
 *
 * A request without a workspace counts as one of the most common workspace priority.
 */
class EffectivePriorities(
    desired: DesiredState,
) {
    private val workspaceLevels =
        desired.workspaces
            .map { it.priority }
            .distinct()
            .sorted()
    private val routeLevels = desired.routePriorities
    private val defaultPriority =
        desired.workspaces
            .groupingBy { it.priority }
            .eachCount()
            .entries
            .maxWithOrNull(compareBy({ it.value }, { it.key }))
            ?.key

    private val workspaceLevelCount = workspaceLevels.size.coerceIn(1, MAX_LEVELS)
    private val routeLevelCount = routeLevels.size.coerceIn(1, MAX_LEVELS)

    /** Number of ranks. */
    val size: Int
        get() = workspaceLevelCount * routeLevelCount

    /** Returns the rank of a request of [route] and [workspace], from 0 to [size] - 1. */
    fun rankOf(
        route: TrafficRoute,
        workspace: Workspace?,
    ): Int {
        val ofWorkspace = levelOf(workspaceLevels, workspace?.priority ?: defaultPriority)
        val ofRoute = levelOf(routeLevels, route.priority)
        return ofRoute * workspaceLevelCount + ofWorkspace
    }

    private fun levelOf(
        levels: List<Int>,
        priority: Int?,
    ): Int = min(levels.indexOf(priority).coerceAtLeast(0), MAX_LEVELS - 1)

    private companion object {
        /** Less urgent levels count as one, which bounds the state that is kept for each rank. */
        const val MAX_LEVELS = 8
    }
}
