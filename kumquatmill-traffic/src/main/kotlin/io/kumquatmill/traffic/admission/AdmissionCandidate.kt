package io.kumquatmill.traffic.admission

import io.kumquatmill.common.id.AvailabilityZoneId

/**
 * A worker that may serve a request. All times are milliseconds.
 *
 * @property waitMs expected time in the queue, as far as this host knows the worker's load
 * @property serviceMs expected service time including the network
 * @property minServiceMs shortest likely service time; 0 if nothing is known of it
 * @property reserveMs time that callers of other regions need in addition to reach the worker
 * @property slots requests that the worker executes concurrently
 */
data class AdmissionCandidate(
    val zone: AvailabilityZoneId,
    val waitMs: Double,
    val serviceMs: Double,
    val minServiceMs: Double,
    val reserveMs: Double,
    val slots: Int,
)
