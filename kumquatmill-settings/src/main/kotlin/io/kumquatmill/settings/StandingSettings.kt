package io.kumquatmill.settings

/**
 * Limits of how long a host serves requests without contact to the store and its peers.
 *
 * @property isolationPolicy how requests that need a key are handled while the configuration may be stale.
 * @property standingMs time for which a confirmation by the store or by peers gives a host standing.
 * @property freshnessMs maximum age of a confirmation that the configuration is current.
 */
data class StandingSettings(
    val isolationPolicy: IsolationPolicy,
    val standingMs: Long,
    val freshnessMs: Long,
)
