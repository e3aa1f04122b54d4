package io.kumquatmill.standins.platform

import io.kumquatmill.standins.http.ConnectionNumbers
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** The platform's state, for use by several threads. */
class PlatformState(
    private val store: KeyValueStandin = KeyValueStandin(),
    private val hostList: HostListStandin = HostListStandin(),
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    internal val connections = ConnectionNumbers()

    /** Makes all connections that have carried a request so far silent for good. */
    fun silenceConnections() = connections.silence()

    /** Runs [block] alone on the store, and wakes waiting watches if it changed something. */
    fun <T> withStore(block: (KeyValueStandin) -> T): T =
        lock.withLock {
            val revisionBefore = store.revision
            val faultsBefore = store.faults
            val result = block(store)
            if (store.revision != revisionBefore || store.faults != faultsBefore) changed.signalAll()
            result
        }

    /** Runs [block] alone on the host list. */
    fun <T> withHostList(block: (HostListStandin) -> T): T = lock.withLock { block(hostList) }

    /** Waits at most [waitMs] until [isOver] holds for the store. */
    internal fun awaitStore(
        waitMs: Long,
        isOver: (KeyValueStandin) -> Boolean,
    ) {
        lock.withLock {
            var remainingNs = TimeUnit.MILLISECONDS.toNanos(waitMs)
            while (!isOver(store) && remainingNs > 0) {
                remainingNs = changed.awaitNanos(remainingNs)
            }
        }
    }
}
