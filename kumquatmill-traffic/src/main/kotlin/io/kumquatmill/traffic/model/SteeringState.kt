package io.kumquatmill.traffic.model

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.WorkerId

/** All that decisions need from outside: what operators ask for and what workers say of themselves. */
data class SteeringState(
    val desired: DesiredState?,
    val workers: Map<WorkerId, WorkerEntry>,
    val evacuatedZones: Set<AvailabilityZoneId>,
) {
    companion object {
        /** Nothing is known yet. */
        val empty: SteeringState = SteeringState(null, emptyMap(), emptySet())
    }
}
