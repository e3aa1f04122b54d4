package io.kumquatmill.wire

import java.util.concurrent.atomic.LongAdder

/** Counters of the messages, bytes and connections of a [PeerTransport] since its start. */
class PeerTransportCounters {
    internal val sent = LongAdder()
    internal val bytesSent = LongAdder()
    internal val received = LongAdder()
    internal val bytesReceived = LongAdder()
    internal val dropped = LongAdder()
    internal val malformed = LongAdder()
    internal val opened = LongAdder()
    internal val timedOut = LongAdder()

    /** Messages written to peers. */
    val sentMessages: Long
        get() = sent.sum()

    /** Bytes written to peers, including length prefixes and heartbeats. */
    val sentBytes: Long
        get() = bytesSent.sum()

    /** Messages received from peers and decoded. */
    val receivedMessages: Long
        get() = received.sum()

    /** Bytes read from peers, including length prefixes and heartbeats. */
    val receivedBytes: Long
        get() = bytesReceived.sum()

    /** Messages dropped because the queue was full, the message was too old, too large or not encodable, or the connection was lost. */
    val droppedMessages: Long
        get() = dropped.sum()

    /** Inbound frames that were too large or could not be decoded; each of them closed its connection. */
    val malformedFrames: Long
        get() = malformed.sum()

    /** Outbound connections opened to peers. */
    val openedConnections: Long
        get() = opened.sum()

    /** Outbound connections closed because the peer did not reply to heartbeats. */
    val timedOutConnections: Long
        get() = timedOut.sum()
}
