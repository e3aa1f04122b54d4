package io.kumquatmill.cli

import io.kumquatmill.cli.fleet.HostClient
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.configuration.edit.EditId
import io.kumquatmill.platform.HttpStoreClient
import io.kumquatmill.platform.PlatformClientSettings
import io.kumquatmill.store.StoreClient
import java.util.UUID

/**
 * External dependencies of the commands, which tests replace.
 *
 * @property openStore opens a client of the store at an address, with a call timeout in milliseconds.
 * @property createHostClient creates a client of entry hosts, with a call timeout in milliseconds.
 * @property readKeyFromInput reads a caller's key from the terminal or the standard input.
 * @property newEditId generates a unique identifier for an edit.
 * @property clock source of monotonic time.
 * @property sleep blocks the thread for a time in milliseconds.
 */
data class CommandEnvironment(
    val openStore: (HostAddress, Long) -> StoreClient,
    val createHostClient: (Long) -> HostClient,
    val readKeyFromInput: () -> String,
    val newEditId: () -> EditId,
    val clock: MonotonicClock,
    val sleep: (Long) -> Unit,
) {
    companion object {
        /** Production environment: HTTP clients, the terminal and the system clock. */
        val system: CommandEnvironment =
            CommandEnvironment(
                openStore = { address, timeoutMs -> HttpStoreClient(PlatformClientSettings(listOf(address), callTimeoutMs = timeoutMs)) },
                createHostClient = ::HostClient,
                readKeyFromInput = ::readKeyLine,
                newEditId = { EditId(UUID.randomUUID().toString()) },
                clock = MonotonicClock.system,
                sleep = Thread::sleep,
            )
    }
}

/** Reads a key from the terminal without echo, or from the standard input if there is no terminal. */
private fun readKeyLine(): String {
    val console = System.console()
    return if (console == null) readlnOrNull().orEmpty() else String(console.readPassword("key: ") ?: CharArray(0))
}
