package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "worker-slots"

/**
 * No routing decision overloads a worker, and therefore none overloads its region.
 *
 * The attempts that have arrived at a worker and have not ended never exceed its slots.
 */
fun workerSlots(): Invariant =
    Invariant(NAME) { history ->
        val open = HashMap<WorkerId, MutableSet<RequestId>>()
        history.observations.mapNotNull { observation ->
            when (observation) {
                is Observation.AttemptArrived -> overload(history, open, observation)
                is Observation.RunEnded -> null.also { open[observation.worker]?.remove(observation.request) }
                else -> null
            }
        }
    }

private fun overload(
    history: History,
    open: MutableMap<WorkerId, MutableSet<RequestId>>,
    arrival: Observation.AttemptArrived,
): Violation? {
    val requests = open.getOrPut(arrival.worker) { mutableSetOf() }
    requests += arrival.request
    val slots = history.slotsOf(arrival.worker)
    if (requests.size <= slots) return null
    requests -= arrival.request
    return Violation(NAME, arrival.atMs, "${arrival.worker} has ${requests.size + 1} requests at a time, expected at most $slots")
}
