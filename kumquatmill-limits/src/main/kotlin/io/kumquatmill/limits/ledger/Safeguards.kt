package io.kumquatmill.limits.ledger

/** Mechanisms that keep all hosts together within a limit. Tests disable them one at a time to show what each one prevents. */
internal data class Safeguards(
    /** Denies tokens while the host has no valid standing. */
    val requireStanding: Boolean = true,
    /** Measures the duration of a loan from when the borrower sent its request, not from when the grant arrived. */
    val countLoanFromRequest: Boolean = true,
    /** Ignores terms whose version is not higher than the highest one received. */
    val checkVersions: Boolean = true,
    /** Adds no tokens to the bucket for units that arrive without tokens. */
    val startEmpty: Boolean = true,
    /** Assigns the smaller of the old and new base units while a roster is prepared but not settled. */
    val useSmallerBaseUnits: Boolean = true,
    /** Ignores messages to or from another incarnation. */
    val checkIncarnations: Boolean = true,
)
