package io.kumquatmill.routing.worker

/**
 * Weights used to select a worker.
 *
 * The cost of a worker in another availability zone is multiplied by [crossZoneCostFactor]. A load report can't lower a worker's
 * weight below [minLoadReportWeight], so that a wrong report can't take the worker out of service.
 */
data class SelectionSettings(
    val crossZoneCostFactor: Double = DEFAULT_CROSS_ZONE_COST_FACTOR,
    val minLoadReportWeight: Double = DEFAULT_MIN_LOAD_REPORT_WEIGHT,
) {
    companion object {
        const val DEFAULT_CROSS_ZONE_COST_FACTOR: Double = 1.1
        const val DEFAULT_MIN_LOAD_REPORT_WEIGHT: Double = 0.25
    }
}
