package io.kumquatmill.cli.error

import io.kumquatmill.configuration.edit.CommitError
import io.kumquatmill.store.StoreError

/** Reason for the failure of a command; [message] includes the remedy. */
sealed interface CliError {
    val message: String
    val exitCode: ExitCode

    /** The command line, the settings or an input file is invalid. */
    data class Usage(
        override val message: String,
    ) : CliError {
        override val exitCode: ExitCode = ExitCode.USAGE
    }

    /** An edit was not committed, or its outcome is unknown. */
    data class Edit(
        val error: CommitError,
    ) : CliError {
        override val message: String = error.message
        override val exitCode: ExitCode = exitCodeOf(error)
    }

    /** A call to the store failed; nothing was written. */
    data class Store(
        val error: StoreError,
    ) : CliError {
        override val message: String =
            if (error is StoreError.Unknown) {
                "the key-value store did not respond (${error.detail}), nothing was written: try again later"
            } else {
                error.message
            }
        override val exitCode: ExitCode = ExitCode.UNREACHABLE
    }

    /** The response to a write was lost, so it is unknown whether the change took effect. */
    data class OutcomeUnknown(
        val detail: String,
    ) : CliError {
        override val message: String = "it is unknown whether the change took effect ($detail): repeat the command, it is idempotent"
        override val exitCode: ExitCode = ExitCode.OUTCOME_UNKNOWN
    }

    /** No host gave a usable response, or there was none to contact. */
    data class NoHostReachable(
        val detail: String,
    ) : CliError {
        override val message: String = "no host gave a usable response ($detail): check that hosts are live, or specify one with --host"
        override val exitCode: ExitCode = ExitCode.UNREACHABLE
    }

    /** A host responded with an HTTP [status] other than 200. */
    data class RequestRefused(
        val status: Int,
        val reason: String,
    ) : CliError {
        override val message: String = "the host refused the request with status $status ($reason): check the key and its workspace"
        override val exitCode: ExitCode = ExitCode.REFUSED
    }

    /** Configuration [revision] is not in force on [hosts]; an empty list means that no live host was found. */
    data class HostsLagging(
        val revision: Long,
        val hosts: List<String>,
    ) : CliError {
        override val message: String =
            if (hosts.isEmpty()) {
                "no live host is registered: start hosts, or specify them with --host"
            } else {
                "revision $revision is not in force on ${hosts.joinToString()}: check their state with the status command"
            }
        override val exitCode: ExitCode = ExitCode.LAGGING
    }
}

private fun exitCodeOf(error: CommitError): ExitCode =
    when (error) {
        is CommitError.EntryChanged, is CommitError.TooManyConflicts -> ExitCode.CONFLICT
        is CommitError.NotApplicable, is CommitError.StoredConfigurationInvalid -> ExitCode.REJECTED
        is CommitError.NotWritten -> ExitCode.UNREACHABLE
        is CommitError.OutcomeUnknown -> ExitCode.OUTCOME_UNKNOWN
    }
