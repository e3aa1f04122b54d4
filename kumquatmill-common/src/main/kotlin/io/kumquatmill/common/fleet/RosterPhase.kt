package io.kumquatmill.common.fleet

/** Phase of a roster change. */
enum class RosterPhase {
    /** The change has been announced; each host may use only the smaller of its old and new shares. */
    PREPARED,

    /** No host has standing under an earlier epoch any more; each host may use its new shares. */
    SETTLED,
}
