package io.kumquatmill.limits.ledger

/** Mechanisms that keep all hosts together within a limit; tests switch them off one at a time to show what each prevents. */
internal data class Safeguards(
    /** Nothing is taken without standing. */
    val requireStanding: Boolean = true,
    /** The time of a loan counts from when its borrower asked, not from when the answer came. */
    val countLoanFromRequest: Boolean = true,
    /** Terms with a version already seen are ignored. */
    val checkVersions: Boolean = true,
    /** Units that come without tokens add none to the bucket. */
    val startEmpty: Boolean = true,
    /** A prepared roster gives the smaller of the old and new units. */
    val takeSmallerAnchor: Boolean = true,
    /** Messages for or from another incarnation are ignored. */
    val checkIncarnations: Boolean = true,
)
