package io.kumquatmill.scenario.script

import io.kumquatmill.common.id.WorkspaceId

/**
 * Load that the callers of one workspace in one region put on a route.
 *
 * [workspace] is null for callers without a key. With [isSteady], requests are evenly spaced; otherwise, the times
 * between them are exponentially distributed.
 */
data class CallerLoad(
    val workspace: String?,
    val region: String,
    val route: String,
    val ratePerS: Double,
    val isSteady: Boolean = false,
    val bodyBytes: Long = 1_000,
) {
    /** Id of [workspace]. */
    val workspaceId: WorkspaceId?
        get() = workspace?.let(::WorkspaceId)
}
