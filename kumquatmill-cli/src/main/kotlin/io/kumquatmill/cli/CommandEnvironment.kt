package io.kumquatmill.cli

import io.kumquatmill.cli.fleet.HostApi
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.configuration.edit.EditId
import io.kumquatmill.platform.HttpStoreClient
import io.kumquatmill.platform.PlatformSettings
import io.kumquatmill.store.StoreClient
import java.util.UUID

/** What commands need from outside; tests replace parts of it. */
data class CommandEnvironment(
    val openStore: (HostAddress, Long) -> StoreClient,
    val hostApi: (Long) -> HostApi,
    val readKeyFromInput: () -> String,
    val newEditId: () -> EditId,
    val clock: MonotonicClock,
    val sleep: (Long) -> Unit,
) {
    companion object {
        /** The environment of a process: HTTP, the terminal and real time. */
        val system: CommandEnvironment =
            CommandEnvironment(
                openStore = { address, timeoutMs -> HttpStoreClient(PlatformSettings(listOf(address), callTimeoutMs = timeoutMs)) },
                hostApi = ::HostApi,
                readKeyFromInput = ::readKeyLine,
                newEditId = { EditId(UUID.randomUUID().toString()) },
                clock = MonotonicClock.system,
                sleep = Thread::sleep,
            )
    }
}

/** Reads a key from the terminal without echo, or from the standard input if that is no terminal. */
private fun readKeyLine(): String {
    val console = System.console()
    return if (console == null) readlnOrNull().orEmpty() else String(console.readPassword("key: ") ?: CharArray(0))
}
