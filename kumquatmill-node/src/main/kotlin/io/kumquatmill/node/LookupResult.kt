package io.kumquatmill.node

import io.kumquatmill.common.outcome.Outcome

/** Result of a [LookupQuery]. */
sealed interface LookupResult {
    /**
     * The entry hosts to use, best first; [alternates] are the fallback when none of them responds.
     *
     * The caller may cache the result for [cacheMs].
     */
    data class Found(
        val hosts: List<EntryHost>,
        val alternates: List<EntryHost>,
        val cacheMs: Long,
    ) : LookupResult

    /** The lookup was refused. */
    data class Refused(
        val outcome: Outcome.NotRun,
    ) : LookupResult
}
