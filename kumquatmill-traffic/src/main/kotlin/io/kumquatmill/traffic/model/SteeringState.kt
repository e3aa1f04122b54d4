package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.WorkerId

/**
 * External input of all decisions.
 *
 * @property desired configuration requested by the operators, or null before it was received
 * @property workers entries that the workers have published about themselves
 * @property evacuatedZones availability zones whose workers must not receive requests
 */
data class SteeringState(
    val desired: DesiredState?,
    val workers: Map<WorkerId, WorkerEntry>,
    val evacuatedZones: Set<AvailabilityZoneId>,
) {
    companion object {
        /** State before anything has been received. */
        val empty: SteeringState = SteeringState(null, emptyMap(), emptySet())
    }
}
