package io.kumquatmill.common.fleet

/** Whether a change of the roster may be used in full. */
enum class RosterPhase {
    /** The change is announced; hosts spend the smaller of their old and new shares. */
    PREPARED,

    /** No host has standing under an earlier epoch any more; hosts spend their new shares. */
    SETTLED,
}
