package io.kumquatmill.node

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.configuration.model.KeyHash

/** A caller's question which entry hosts to use; [clientIp] places it in a region. */
data class LookUpQuery(
    val keyHash: KeyHash?,
    val clientIp: String,
)

/** Answer to a [LookUpQuery]. */
sealed interface LookUpAnswer {
    /** Entry hosts to use, the best first; [alternates] are for when none of them answers. */
    data class Found(
        val hosts: List<EntryHost>,
        val alternates: List<EntryHost>,
        val cacheMs: Long,
    ) : LookUpAnswer

    /** The question was refused. */
    data class Refused(
        val outcome: Outcome.NotRun,
    ) : LookUpAnswer
}

/** An entry host as callers see it. */
data class EntryHost(
    val host: HostId,
    val region: RegionId,
    val address: HostAddress,
)
