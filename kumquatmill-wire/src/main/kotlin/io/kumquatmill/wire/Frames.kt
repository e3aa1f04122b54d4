package io.kumquatmill.wire

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.io.IOException

/** Length of the field in front of each frame. */
internal const val LENGTH_BYTES = 4

/** A frame without content: a question whether the peer is there, and its answer. */
internal val heartbeatFrame = ByteArray(0)

internal class FrameTooLargeException(
    lengthBytes: Int,
    maxBytes: Int,
) : IOException("frame of $lengthBytes bytes, at most $maxBytes are allowed")

internal suspend fun ByteReadChannel.readFrame(maxBytes: Int): ByteArray {
    val lengthBytes = readInt()
    if (lengthBytes !in 0..maxBytes) throw FrameTooLargeException(lengthBytes, maxBytes)
    return if (lengthBytes == 0) heartbeatFrame else readByteArray(lengthBytes)
}

internal suspend fun ByteWriteChannel.writeFrame(content: ByteArray) {
    writeInt(content.size)
    if (content.isNotEmpty()) writeFully(content)
    flush()
}
