package io.kumquatmill.node

import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.NodeEvent

/**
 * All decisions of one entry host, as a state machine without input or output.
 *
 * It is not safe for use by several threads: one thread feeds it events in order and carries out the effects.
 */
interface EntryNode {
    /** Decides on [event], which happened at [nowMs] of the host's monotonic clock. */
    fun handle(
        nowMs: Long,
        event: NodeEvent,
    ): List<NodeEffect>

    /** Answers a look-up, from memory. */
    fun lookUp(
        nowMs: Long,
        query: LookUpQuery,
    ): LookUpAnswer

    /** Returns what operators see of this host. */
    fun status(nowMs: Long): NodeStatus
}
