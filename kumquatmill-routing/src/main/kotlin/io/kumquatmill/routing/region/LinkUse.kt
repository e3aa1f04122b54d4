package io.kumquatmill.routing.region

import io.kumquatmill.common.id.RegionId

/** What a request takes of the link between [from] and [to]: its own bytes, and those of the expected answer back. */
data class LinkUse(
    val from: RegionId,
    val to: RegionId,
    val requestBytes: Long,
    val answerBytes: Long,
)
