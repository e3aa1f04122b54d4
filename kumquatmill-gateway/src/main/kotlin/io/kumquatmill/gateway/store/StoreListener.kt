package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError

/** Receives the snapshots, changes and failures that a [PrefixWatcher] observes. */
interface StoreListener {
    /** Called with all entries under [prefix] as of [revision]. */
    fun onSnapshot(
        prefix: String,
        entries: List<StoreEntry>,
        revision: Long,
    )

    /** Called with [changes] in the order of their revisions. */
    fun onChanges(changes: List<StoreChange>)

    /** Called when a call is sent; there is one at a time. */
    fun onAsked()

    /** Called when the store has answered the latest call, with or without changes, after they were passed on. */
    fun onAnswered()

    /** Called when a store call fails; [failures] is the number of consecutive failures. */
    fun onFailure(
        prefix: String,
        error: StoreError,
        failures: Int,
    )

    /** Called when a store call succeeds after [failures] consecutive failures. */
    fun onRecovery(
        prefix: String,
        failures: Int,
    )
}
