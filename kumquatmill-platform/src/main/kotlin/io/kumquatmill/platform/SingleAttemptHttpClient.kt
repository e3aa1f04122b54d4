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

/** HTTP response with its complete body. */
internal data class HttpResponse(
    val status: Int,
    val body: String,
)

/**
 * HTTP client that sends each request at most once to each address.
 *
 * A failure before the request was sent is [StoreError.Unavailable] and lets the next address be tried; any later failure is
 * [StoreError.Unknown], as the server may have executed the request.
 */
internal class SingleAttemptHttpClient(
    private val settings: PlatformClientSettings,
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
            .addNetworkInterceptor(ResponseHeadInterceptor())
            .build()

    @Volatile
    private var preferredIndex = 0

    /**
     * Sends the request that [buildRequest] returns for an address to the first reachable address.
     *
     * @param extraTimeoutMs time added to the call timeout.
     */
    fun send(
        extraTimeoutMs: Long = 0,
        buildRequest: (HostAddress) -> Request,
    ): Either<StoreError, HttpResponse> {
        var result: Either<StoreError, HttpResponse> = StoreError.Unavailable("no address is configured").left()
        for (offset in settings.addresses.indices) {
            val index = (preferredIndex + offset) % settings.addresses.size
            result = sendOnce(buildRequest(settings.addresses[index]), extraTimeoutMs)
            if (result.leftOrNull() !is StoreError.Unavailable) {
                preferredIndex = index
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
        extraTimeoutMs: Long,
    ): Either<StoreError, HttpResponse> {
        val startListener = RequestStartListener()
        val call =
            client
                .newBuilder()
                .eventListener(startListener)
                .build()
                .newCall(request)
        call.timeout().timeout(settings.callTimeoutMs + extraTimeoutMs, TimeUnit.MILLISECONDS)
        return try {
            call.execute().use { response -> HttpResponse(response.code, response.body.string()).right() }
        } catch (e: IOException) {
            failureOf(startListener, e)
        }
    }

    private fun failureOf(
        startListener: RequestStartListener,
        cause: IOException,
    ): Either<StoreError, HttpResponse> {
        val detail = cause.message ?: cause.javaClass.simpleName
        if (!startListener.hasStarted) {
            return StoreError.Unavailable(detail).left()
        }
        dropIdleConnections()
        return StoreError.Unknown(detail).left()
    }

    /** Closes idle connections, as they may have been lost together with the one that failed. */
    private fun dropIdleConnections() = client.connectionPool.evictAll()
}

/** Records when the first byte of a request may have been sent. */
private class RequestStartListener : EventListener() {
    @Volatile
    var hasStarted = false
        private set

    override fun requestHeadersStart(call: Call) {
        hasStarted = true
    }
}
