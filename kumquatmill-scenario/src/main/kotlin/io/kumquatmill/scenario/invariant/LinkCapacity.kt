package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.routing.model.Link
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "link-capacity"
private const val BYTES_PER_S_PER_MEGABIT = 125_000.0
private const val MS_PER_S = 1_000.0

/** The bytes between two regions stay within the capacity of the link, per direction, in any window of [InvariantBounds.linkWindowMs]. */
fun linkCapacity(bounds: InvariantBounds): Invariant =
    Invariant(NAME) { history ->
        val transfers = history.transfers().groupBy { it.from to it.to }
        history.topology.links.flatMap { link ->
            overruns(link, transfers[link.from to link.to].orEmpty(), bounds)
        }
    }

/** Bytes sent from one region to another. */
private data class Transfer(
    val atMs: Long,
    val from: RegionId,
    val to: RegionId,
    val bytes: Long,
)

private fun History.transfers(): List<Transfer> =
    observations.mapNotNull { observation ->
        when (observation) {
            is Observation.AttemptArrived ->
                Transfer(observation.atMs, observation.hostRegion, observation.workerRegion, observation.bytes)

            is Observation.ResponseSent ->
                Transfer(observation.atMs, observation.workerRegion, observation.hostRegion, observation.bytes)

            else -> null
        }
    }

private fun overruns(
    link: Link,
    transfers: List<Transfer>,
    bounds: InvariantBounds,
): List<Violation> {
    val allowedBytes = link.megabitsPerS * BYTES_PER_S_PER_MEGABIT * bounds.linkWindowMs / MS_PER_S
    val window = ArrayDeque<Transfer>()
    var windowBytes = 0L
    return transfers.mapNotNull { transfer ->
        window += transfer
        windowBytes += transfer.bytes
        while (window.first().atMs <= transfer.atMs - bounds.linkWindowMs) windowBytes -= window.removeFirst().bytes
        if (windowBytes <= allowedBytes) return@mapNotNull null
        val detail = "${link.from} to ${link.to} carried $windowBytes bytes in ${bounds.linkWindowMs} ms"
        Violation(NAME, transfer.atMs, "$detail, expected at most ${allowedBytes.toLong()}")
    }
}
