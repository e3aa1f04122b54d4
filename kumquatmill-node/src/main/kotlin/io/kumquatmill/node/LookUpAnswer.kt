package io.kumquatmill.node

import io.kumquatmill.common.outcome.Outcome

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
