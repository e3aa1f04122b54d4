package io.kumquatmill.standins.platform

import io.kumquatmill.standins.http.ConnectionSequence
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Thread-safe access to the state of the platform stand-in: the key-value store and the host list. */
class PlatformState(
    private val store: KeyValueStandin = KeyValueStandin(),
    private val hostList: HostListStandin = HostListStandin(),
) {
    private val lock = ReentrantLock()
    private val storeChanged = lock.newCondition()
    internal val connections = ConnectionSequence()

    /** Permanently stops responding on every connection that has carried a request so far. */
    fun silenceConnections() = connections.silenceExisting()

    /** Runs [block] with exclusive access to the store, and wakes blocked watches if the revision or the faults changed. */
    fun <T> withStore(block: (KeyValueStandin) -> T): T =
        lock.withLock {
            val revisionBefore = store.revision
            val faultsBefore = store.faults
            val result = block(store)
            if (store.revision != revisionBefore || store.faults != faultsBefore) storeChanged.signalAll()
            result
        }

    /** Runs [block] with exclusive access to the host list. */
    fun <T> withHostList(block: (HostListStandin) -> T): T = lock.withLock { block(hostList) }

    /** Blocks until [condition] holds for the store, but for at most [waitMs]. */
    internal fun awaitStoreCondition(
        waitMs: Long,
        condition: (KeyValueStandin) -> Boolean,
    ) {
        lock.withLock {
            var remainingNs = TimeUnit.MILLISECONDS.toNanos(waitMs)
            while (!condition(store) && remainingNs > 0) {
                remainingNs = storeChanged.awaitNanos(remainingNs)
            }
        }
    }
}
