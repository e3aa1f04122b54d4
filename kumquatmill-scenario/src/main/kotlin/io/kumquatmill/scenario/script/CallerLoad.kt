package io.kumquatmill.scenario.script

import io.kumquatmill.common.id.WorkspaceId

/**
 * Load of the callers of one workspace in one region.
 *
 * [workspace] is null for callers without a key. With [isSteady], requests come at even distances instead of at random.
 */
data class CallerLoad(
    val workspace: String?,
    val region: String,
    val route: String,
    val ratePerS: Double,
    val isSteady: Boolean = false,
    val bodyBytes: Long = 1_000,
) {
    /** The workspace as the product names it. */
    val workspaceId: WorkspaceId?
        get() = workspace?.let(::WorkspaceId)
}
