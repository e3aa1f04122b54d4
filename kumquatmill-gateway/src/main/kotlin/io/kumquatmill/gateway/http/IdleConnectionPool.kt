package io.kumquatmill.gateway.http

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock

/** Idle keep-alive connections by address; the most recently used one is reused first. */
internal class IdleConnectionPool(
    private val clock: MonotonicClock,
) {
    private class IdleConnection(
        val connection: PersistentConnection,
        val idleSinceMs: Long,
        val expiresAtMs: Long,
    )

    private val connectionsByAddress = HashMap<HostAddress, ArrayDeque<IdleConnection>>()

    /**
     * Removes and returns an open connection to [address] that was idle for less than [maxConnectionIdleMs] and has not carried request
     * [requestId], or null.
     */
    fun acquire(
        address: HostAddress,
        maxConnectionIdleMs: Long,
        requestId: String?,
    ): PersistentConnection? {
        val idle = connectionsByAddress[address] ?: return null
        val nowMs = clock.nowMs()
        idle.filterNot { it.isUsable(nowMs) }.forEach { unusable ->
            idle.remove(unusable)
            unusable.connection.close()
        }
        val chosen = idle.lastOrNull { requestId == null || !it.connection.hasCarried(requestId) } ?: return null
        if (nowMs - chosen.idleSinceMs >= maxConnectionIdleMs) return null
        idle.remove(chosen)
        return chosen.connection
    }

    /** Returns whether a connection to [address] that was idle for less than [maxConnectionIdleMs] is open, whatever it has carried. */
    fun hasOpen(
        address: HostAddress,
        maxConnectionIdleMs: Long,
    ): Boolean {
        val nowMs = clock.nowMs()
        return connectionsByAddress[address].orEmpty().any { it.isUsable(nowMs) && nowMs - it.idleSinceMs < maxConnectionIdleMs }
    }

    private fun IdleConnection.isUsable(nowMs: Long) = connection.isOpen && nowMs < expiresAtMs

    /**
     * Keeps [connection] for reuse for at most [idleTimeoutMs]; closes it if that is not positive, if it is used up, or if the pool of
     * [address] is full.
     */
    fun release(
        address: HostAddress,
        connection: PersistentConnection,
        idleTimeoutMs: Long,
    ) {
        val idle = connectionsByAddress.getOrPut(address) { ArrayDeque() }
        if (idleTimeoutMs <= 0 || connection.isUsedUp || idle.size >= MAX_IDLE_PER_ADDRESS) {
            connection.close()
        } else {
            idle.addLast(IdleConnection(connection, clock.nowMs(), clock.nowMs() + idleTimeoutMs))
        }
    }

    /** Closes idle connections to [address] until at most [maxIdle] are left, the longest idle ones first. */
    fun closeExcess(
        address: HostAddress,
        maxIdle: Int,
    ) {
        val idle = connectionsByAddress[address] ?: return
        while (idle.size > maxIdle) idle.removeFirst().connection.close()
    }

    /** Closes all idle connections to [address]. After one connection failed, the others may be dead too. */
    fun closeAll(address: HostAddress) {
        connectionsByAddress.remove(address)?.forEach { it.connection.close() }
    }

    /** Closes the connections whose idle timeout has passed. */
    fun closeExpired() {
        val nowMs = clock.nowMs()
        connectionsByAddress.values.forEach { idle ->
            idle.removeIf { entry ->
                val isExpired = !entry.connection.isOpen || nowMs >= entry.expiresAtMs
                if (isExpired) entry.connection.close()
                isExpired
            }
        }
        connectionsByAddress.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** A host has few concurrent requests at one worker. */
        const val MAX_IDLE_PER_ADDRESS = 8
    }
}
