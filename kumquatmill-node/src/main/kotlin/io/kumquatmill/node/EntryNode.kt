package io.kumquatmill.node

import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.NodeEvent

/**
 * The decision logic of one entry host, as a state machine that performs no I/O.
 *
 * It is not thread-safe: a single thread passes it events in order and executes the returned effects.
 */
interface EntryNode {
    /** Handles [event], which happened at [nowMs] of the host's monotonic clock, and returns the effects to execute in order. */
    fun handle(
        nowMs: Long,
        event: NodeEvent,
    ): List<NodeEffect>

    /** Answers a lookup from in-memory state. */
    fun lookUp(
        nowMs: Long,
        query: LookupQuery,
    ): LookupResult

    /** Returns the state of this host for operators. */
    fun status(nowMs: Long): NodeStatus
}
