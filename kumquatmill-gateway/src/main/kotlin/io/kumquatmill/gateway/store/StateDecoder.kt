package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreEntry
import io.kumquatmill.traffic.model.DesiredState
import io.kumquatmill.traffic.model.WorkerEntry

/** Decodes store entries; an entry that cannot be decoded yields null. */
interface StateDecoder {
    /** Decodes the desired state. */
    fun desiredState(entry: StoreEntry): DesiredState?

    /** Decodes the entry of a worker. */
    fun worker(entry: StoreEntry): WorkerEntry?
}
