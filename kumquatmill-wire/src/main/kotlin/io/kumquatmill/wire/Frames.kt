package io.kumquatmill.wire

import java.io.IOException
import java.nio.ByteBuffer

/** Size of the length prefix of each frame. */
internal const val LENGTH_PREFIX_BYTES = 4

/** Frame without content: a heartbeat request and the reply to it. */
internal val heartbeatFrame = ByteArray(0)

/** A length prefix that is negative or exceeds the maximum frame size. */
internal class FrameTooLargeException(
    lengthBytes: Int,
    maxBytes: Int,
) : IOException("frame length is $lengthBytes bytes, expected 0 to $maxBytes")

/** Reads the content of one frame; throws [FrameTooLargeException] without reading content that exceeds [maxBytes]. */
internal suspend fun PeerSocket.readFrame(maxBytes: Int): ByteArray {
    val lengthBytes = readFully(LENGTH_PREFIX_BYTES).getInt()
    if (lengthBytes !in 0..maxBytes) throw FrameTooLargeException(lengthBytes, maxBytes)
    return if (lengthBytes == 0) heartbeatFrame else readFully(lengthBytes).array()
}

/** Writes [content] as one frame. */
internal suspend fun PeerSocket.writeFrame(content: ByteArray) {
    val frame = ByteBuffer.allocate(LENGTH_PREFIX_BYTES + content.size)
    frame.putInt(content.size).put(content).flip()
    writeFully(frame)
}
