package io.kumquatmill.traffic.desk

/** Why a request was refused before it ran. */
enum class RefusalCause(
    val wireName: String,
) {
    /** The workspace has used up its allowance. */
    OVER_ALLOWANCE("over-allowance"),

    /** All workers are busy beyond what the request may wait. */
    NO_ROOM("no-room"),

    /** No worker may get the request. */
    NO_WORKER("no-worker"),

    /** Workers turned it away or were not reached, and it may not be sent again. */
    TURNED_AWAY("turned-away"),

    /** Too little time is left for an answer. */
    TOO_LATE("too-late"),
}
