package io.kumquatmill.cli.error

/** Exit codes of `kumquatctl`; scripts may rely on them. */
enum class ExitCode(
    val code: Int,
    val meaning: String,
) {
    DONE(0, "done"),
    USAGE(1, "the command line or the settings are wrong"),
    CONFLICT(2, "another operator changed the same entry; nothing was written"),
    REJECTED(3, "the edit does not fit the lists; nothing was written"),
    UNREACHABLE(4, "the store or the hosts could not be reached; nothing was written"),
    UNKNOWN(5, "it is unknown whether the edit took effect; repeat it with the same edit id"),
    LAGGING(6, "some hosts do not have the configuration in force yet"),
    REFUSED(7, "the host refused the question"),
}
