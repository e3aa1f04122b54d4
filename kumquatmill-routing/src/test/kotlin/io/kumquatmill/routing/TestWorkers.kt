package io.kumquatmill.routing

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.UpstreamId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.routing.model.Worker

val testUpstream = UpstreamId("status-service")
val zapad = RegionId("zapad")
val stred = RegionId("stred")

fun testWorkers(
    count: Int,
    region: RegionId = zapad,
    slots: Int = 7,
    prefix: String = "worker",
): List<Worker> =
    (1..count).map { number ->
        val zone = AvailabilityZoneId("$region-${number % 2}")
        Worker(WorkerId("$prefix-$number"), testUpstream, region, zone, HostAddress("10.0.0.$number", 8080), slots)
    }
