package io.kumquatmill.wire

import java.io.IOException
import java.nio.ByteBuffer

/** Length of the field in front of each frame. */
internal const val LENGTH_BYTES = 4

/** A frame without content: a question whether the peer is there, and its answer. */
internal val heartbeatFrame = ByteArray(0)

internal class FrameTooLargeException(
    lengthBytes: Int,
    maxBytes: Int,
) : IOException("frame of $lengthBytes bytes, at most $maxBytes are allowed")

internal suspend fun PeerSocket.readFrame(maxBytes: Int): ByteArray {
    val lengthBytes = readFully(LENGTH_BYTES).getInt()
    if (lengthBytes !in 0..maxBytes) throw FrameTooLargeException(lengthBytes, maxBytes)
    return if (lengthBytes == 0) heartbeatFrame else readFully(lengthBytes).array()
}

internal suspend fun PeerSocket.writeFrame(content: ByteArray) {
    val frame = ByteBuffer.allocate(LENGTH_BYTES + content.size)
    frame.putInt(content.size).put(content).flip()
    writeFully(frame)
}
