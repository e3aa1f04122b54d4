package io.kumquatmill.routing.worker

/**
 * Weights in the choice of a worker.
 *
 * A worker in another availability zone costs [otherZoneCost] times as much. A load report lowers a worker's weight to
 * [minReportWeight] at most, so that a wrong report can't take it out of service.
 */
data class SelectionSettings(
    val otherZoneCost: Double = DEFAULT_OTHER_ZONE_COST,
    val minReportWeight: Double = DEFAULT_MIN_REPORT_WEIGHT,
) {
    companion object {
        const val DEFAULT_OTHER_ZONE_COST: Double = 1.1
        const val DEFAULT_MIN_REPORT_WEIGHT: Double = 0.25
    }
}
