package io.kumquatmill.settings

/** For how long a host may go on without hearing from the store or its peers. */
data class StandingSettings(
    val isolationPolicy: IsolationPolicy,
    val standingMs: Long,
    val freshnessMs: Long,
)
