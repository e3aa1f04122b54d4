package io.kumquatmill.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.store.StoreError
import okhttp3.Call
import okhttp3.ConnectionPool
import okhttp3.EventListener
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.util.concurrent.TimeUnit

private const val IDLE_CONNECTION_MS = 30_000L

/** A complete HTTP answer. */
internal data class HttpAnswer(
    val status: Int,
    val body: String,
)

/** Sends each request exactly once, and tells a request that was never sent from one whose outcome is unknown. */
internal class HttpExchange(
    private val settings: PlatformSettings,
) : AutoCloseable {
    private val client =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectionPool(ConnectionPool(settings.maxIdleConnections, IDLE_CONNECTION_MS, TimeUnit.MILLISECONDS))
            .connectTimeout(settings.connectTimeoutMs, TimeUnit.MILLISECONDS)
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .writeTimeout(0, TimeUnit.MILLISECONDS)
            .build()

    @Volatile
    private var preferred = 0

    /** Sends the request that [build] gives for an address, to the first address that can be reached. */
    fun send(
        extraTimeMs: Long = 0,
        build: (HostAddress) -> Request,
    ): Either<StoreError, HttpAnswer> {
        var result: Either<StoreError, HttpAnswer> = StoreError.Unavailable("no address").left()
        for (offset in settings.addresses.indices) {
            val index = (preferred + offset) % settings.addresses.size
            result = sendOnce(build(settings.addresses[index]), extraTimeMs)
            if (result.leftOrNull() !is StoreError.Unavailable) {
                preferred = index
                break
            }
        }
        return result
    }

    override fun close() {
        client.dispatcher.cancelAll()
        client.connectionPool.evictAll()
    }

    private fun sendOnce(
        request: Request,
        extraTimeMs: Long,
    ): Either<StoreError, HttpAnswer> {
        val sent = SentListener()
        val call =
            client
                .newBuilder()
                .eventListener(sent)
                .build()
                .newCall(request)
        call.timeout().timeout(settings.callTimeoutMs + extraTimeMs, TimeUnit.MILLISECONDS)
        return try {
            call.execute().use { response -> HttpAnswer(response.code, response.body.string()).right() }
        } catch (e: IOException) {
            failure(sent, e)
        }
    }

    private fun failure(
        sent: SentListener,
        cause: IOException,
    ): Either<StoreError, HttpAnswer> {
        val detail = cause.message ?: cause.javaClass.simpleName
        if (!sent.hasStarted) {
            return StoreError.Unavailable(detail).left()
        }
        dropIdleConnections()
        return StoreError.Unknown(detail).left()
    }

    /** Other idle connections may have gone silent with the one that failed. */
    private fun dropIdleConnections() = client.connectionPool.evictAll()
}

/** Notices when the first byte of a request may have been sent. */
private class SentListener : EventListener() {
    @Volatile
    var hasStarted = false
        private set

    override fun requestHeadersStart(call: Call) {
        hasStarted = true
    }
}
