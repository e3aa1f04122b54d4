package io.kumquatmill.cli.error

import io.kumquatmill.configuration.edit.CommitError
import io.kumquatmill.store.StoreError

/** Why a command did not succeed; [message] names the remedy. */
sealed interface CliError {
    val message: String
    val exitCode: ExitCode

    /** The command line or the settings are wrong. */
    data class Usage(
        override val message: String,
    ) : CliError {
        override val exitCode: ExitCode = ExitCode.USAGE
    }

    /** An edit was not committed, or may not have been. */
    data class Edit(
        val error: CommitError,
    ) : CliError {
        override val message: String = error.message
        override val exitCode: ExitCode = exitCodeOf(error)
    }

    /** A call of the store failed and wrote nothing. */
    data class Store(
        val error: StoreError,
    ) : CliError {
        override val message: String =
            if (error is StoreError.Unknown) {
                "the key-value service did not answer (${error.detail}), nothing was written: try again later"
            } else {
                error.message
            }
        override val exitCode: ExitCode = ExitCode.UNREACHABLE
    }

    /** It is unknown whether a change of the store took effect. */
    data class OutcomeUnknown(
        val detail: String,
    ) : CliError {
        override val message: String = "it is unknown whether the change took effect ($detail): repeat the command, it is idempotent"
        override val exitCode: ExitCode = ExitCode.UNKNOWN
    }

    /** No host could be asked. */
    data class NoHost(
        val detail: String,
    ) : CliError {
        override val message: String = "no host answered ($detail): check that hosts are live, or name one with --host"
        override val exitCode: ExitCode = ExitCode.UNREACHABLE
    }

    /** A host refused the look-up. */
    data class LookUpRefused(
        val status: Int,
        val reason: String,
    ) : CliError {
        override val message: String = "the look-up was refused with status $status ($reason): check the key and who it is granted to"
        override val exitCode: ExitCode = ExitCode.REFUSED
    }

    /** Hosts do not have the configuration in force. */
    data class Lagging(
        val revision: Long,
        val hosts: List<String>,
    ) : CliError {
        override val message: String =
            if (hosts.isEmpty()) {
                "no live host is listed: start hosts, or name them with --host"
            } else {
                "revision $revision is not in force on ${hosts.joinToString()}: look at their state with the status command"
            }
        override val exitCode: ExitCode = ExitCode.LAGGING
    }
}

private fun exitCodeOf(error: CommitError): ExitCode =
    when (error) {
        is CommitError.EntryChanged, is CommitError.TooManyConflicts -> ExitCode.CONFLICT
        is CommitError.NotApplicable, is CommitError.StoredConfigurationInvalid -> ExitCode.REJECTED
        is CommitError.NotWritten -> ExitCode.UNREACHABLE
        is CommitError.OutcomeUnknown -> ExitCode.UNKNOWN
    }
