package io.kumquatmill.cli.error

/** Exit codes of `kumquatctl`. Scripts may rely on them, so the codes must not change. */
enum class ExitCode(
    val code: Int,
    val description: String,
) {
    DONE(0, "done"),
    USAGE(1, "the command line or the settings are invalid"),
    CONFLICT(2, "another operator changed the same entry; nothing was written"),
    REJECTED(3, "the edit does not apply to the stored configuration; nothing was written"),
    UNREACHABLE(4, "the store or the hosts could not be reached; nothing was written"),
    OUTCOME_UNKNOWN(5, "it is unknown whether the edit took effect; repeat it with the same edit ID"),
    LAGGING(6, "the configuration is not in force on some hosts yet"),
    REFUSED(7, "a host refused the request"),
}
