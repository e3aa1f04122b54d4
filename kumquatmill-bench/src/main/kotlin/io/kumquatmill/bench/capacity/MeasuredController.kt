package io.kumquatmill.bench.capacity

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.traffic.control.TrafficController
import io.kumquatmill.traffic.control.TrafficSettings
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.model.DesiredState

/** Zones, settings and desired state that the measurements of a traffic controller share. */
internal object MeasuredController {
    private const val ZONES = 6
    private const val REGIONS = 3
    private val regionByZone = (0 until ZONES).associate { AvailabilityZoneId(zone(it)) to RegionId(region(it)) }
    private val settings =
        TrafficSettings(
            regionByZone,
            retryRatio = 0.2,
            retryReserve = 50.0,
            retryWindowMs = 10_000,
            coldRateFactor = 1.5,
            coldRateSlack = 8.0,
        )

    /** A desired state without routes, workspaces and upstreams. */
    val emptyState =
        DesiredState(
            version = 1,
            routes = emptyList(),
            workspaces = emptyList(),
            isKeyRequired = false,
            upstreams = emptyMap(),
            maxBodyBytes = 1_000_000,
        )

    /** Returns the zone of the host or worker with number [index]. */
    fun zone(index: Int) = "zone-${index % ZONES}"

    /** Returns the region of the host or worker with number [index]. */
    fun region(index: Int) = "region-${index % ZONES % REGIONS}"

    fun create(self: EntryHostInfo) = TrafficController(self, settings)
}
