package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import io.kumquatmill.store.StoreError

/** Told what a [PrefixWatcher] learns. */
interface StoreListener {
    /** All entries under [prefix] as of [revision]. */
    fun onSnapshot(
        prefix: String,
        entries: List<StoreEntry>,
        revision: Long,
    )

    /** Changes in their order. */
    fun onChanges(changes: List<StoreChange>)

    /** The service failed for the [failures]th time in a row. */
    fun onFailure(
        prefix: String,
        error: StoreError,
        failures: Int,
    )

    /** The service answers again after [failures] failures. */
    fun onRecovery(
        prefix: String,
        failures: Int,
    )
}
