package io.kumquatmill.wire

import java.util.concurrent.atomic.LongAdder

/** Counts of what a [PeerTransport] sent, received and lost since its start. */
class PeerTransportCounters {
    internal val sent = LongAdder()
    internal val bytesSent = LongAdder()
    internal val received = LongAdder()
    internal val bytesReceived = LongAdder()
    internal val dropped = LongAdder()
    internal val malformed = LongAdder()
    internal val opened = LongAdder()
    internal val silent = LongAdder()

    val sentMessages: Long
        get() = sent.sum()

    /** Bytes written to peers, with lengths and heartbeats. */
    val sentBytes: Long
        get() = bytesSent.sum()

    val receivedMessages: Long
        get() = received.sum()

    /** Bytes read from peers, with lengths and heartbeats. */
    val receivedBytes: Long
        get() = bytesReceived.sum()

    /** Messages that were given up: the ring was full, the message too old or too large, or the connection broke. */
    val droppedMessages: Long
        get() = dropped.sum()

    val malformedFrames: Long
        get() = malformed.sum()

    /** Connections opened to peers. */
    val openedConnections: Long
        get() = opened.sum()

    /** Connections closed because the peer was silent. */
    val silentConnections: Long
        get() = silent.sum()
}
