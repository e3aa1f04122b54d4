package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreEntry
import io.kumquatmill.traffic.model.DesiredState
import io.kumquatmill.traffic.model.WorkerEntry

/** Decodes entries of the store; an entry that can't be read decodes to null. */
interface StateDecoder {
    /** Decodes the desired state. */
    fun desiredState(entry: StoreEntry): DesiredState?

    /** Decodes the entry of a worker. */
    fun worker(entry: StoreEntry): WorkerEntry?
}
