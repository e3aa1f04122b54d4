package io.kumquatmill.wire

import io.kumquatmill.common.fleet.HostAddress
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.EOFException
import java.io.IOException
import java.net.InetSocketAddress
import java.net.SocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel
import java.nio.channels.CompletionHandler
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** A TCP connection for coroutines; cancelling an operation that is under way closes it. */
internal class PeerSocket(
    private val channel: AsynchronousSocketChannel,
) : AutoCloseable {
    val remoteAddress: SocketAddress? = if (channel.isOpen) channel.remoteAddress else null

    /** Reads exactly [count] bytes. */
    suspend fun readFully(count: Int): ByteBuffer {
        val buffer = ByteBuffer.allocate(count)
        while (buffer.hasRemaining()) {
            val read = awaitResult<Int>(channel) { channel.read(buffer, it, ResumingHandler()) }
            if (read < 0) throw EOFException("the peer closed the connection")
        }
        return buffer.flip()
    }

    /** Writes all that remains in [buffer]. */
    suspend fun writeFully(buffer: ByteBuffer) {
        while (buffer.hasRemaining()) {
            awaitResult<Int>(channel) { channel.write(buffer, it, ResumingHandler()) }
        }
    }

    override fun close() = channel.close()

    companion object {
        /** Connects to [address]. */
        suspend fun connect(
            group: AsynchronousChannelGroup,
            address: HostAddress,
        ): PeerSocket {
            val channel = AsynchronousSocketChannel.open(group)
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            val target = InetSocketAddress(address.ip, address.port)
            if (target.isUnresolved) throw IOException("$address is no IP number with a port")
            awaitResult<Void?>(channel) { channel.connect(target, it, ResumingHandler()) }
            return PeerSocket(channel)
        }
    }
}

/** Waits for the next connection. */
internal suspend fun AsynchronousServerSocketChannel.acceptPeer(): PeerSocket {
    val channel = awaitResult<AsynchronousSocketChannel>(this) { accept(it, ResumingHandler()) }
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
    return PeerSocket(channel)
}

private suspend fun <T> awaitResult(
    channel: AutoCloseable,
    start: (CancellableContinuation<T>) -> Unit,
): T =
    suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { channel.close() }
        start(continuation)
    }

private class ResumingHandler<T> : CompletionHandler<T, CancellableContinuation<T>> {
    override fun completed(
        result: T,
        continuation: CancellableContinuation<T>,
    ) = continuation.resume(result)

    override fun failed(
        error: Throwable,
        continuation: CancellableContinuation<T>,
    ) = continuation.resumeWithException(error)
}
