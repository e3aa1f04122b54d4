package io.kumquatmill.daemon.forward

import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.daemon.caller.UpstreamRequest
import io.kumquatmill.platform.ResponseHeadInterceptor
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.settings.ForwardSettings
import okhttp3.Call
import okhttp3.ConnectionPool
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody
import okio.BufferedSink
import java.net.Proxy
import java.util.concurrent.TimeUnit

/** One attempt to send a request to a worker. [workspace] is null on public routes. */
internal class WorkerCall(
    val request: RequestId,
    val worker: Worker,
    val workspace: WorkspaceId?,
    val upstreamRequest: UpstreamRequest,
    val timeoutMs: Long,
    val state: AttemptState,
)

/**
 * HTTP/1.1 client that sends each request to a worker at most once.
 *
 * OkHttp's automatic resends are disabled: after connection failures, after redirects, and after responses 408 and 503.
 */
internal class WorkerClient(
    settings: ForwardSettings,
    maxConnections: Int,
    clock: MonotonicClock,
) : AutoCloseable {
    private val connectionActivity = ConnectionActivityTracker(clock)
    private val pool = ConnectionPool(maxConnections, settings.idleConnectionMs, TimeUnit.MILLISECONDS)
    private val pooledClient =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .fastFallback(false)
            .proxy(Proxy.NO_PROXY)
            .protocols(listOf(Protocol.HTTP_1_1))
            .connectTimeout(settings.connectTimeoutMs, TimeUnit.MILLISECONDS)
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .writeTimeout(0, TimeUnit.MILLISECONDS)
            .connectionPool(pool)
            .addNetworkInterceptor(AttemptInterceptor(connectionActivity, settings.freshConnectionMs))
            .addNetworkInterceptor(ResponseHeadInterceptor())
            .build()
    private val unpooledClient = pooledClient.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS)).build()

    /** Returns a call that may reuse a pooled connection. */
    fun newCall(call: WorkerCall): Call = withCallTimeout(pooledClient.newCall(toHttpRequest(call)), call)

    /** Returns a call that opens a new connection. */
    fun newCallOnNewConnection(call: WorkerCall): Call = withCallTimeout(unpooledClient.newCall(toHttpRequest(call)), call)

    override fun close() {
        pool.evictAll()
        pooledClient.dispatcher.executorService.shutdown()
    }

    private fun withCallTimeout(
        httpCall: Call,
        call: WorkerCall,
    ): Call = httpCall.apply { timeout().timeout(maxOf(1, call.timeoutMs), TimeUnit.MILLISECONDS) }

    private fun toHttpRequest(call: WorkerCall): Request {
        val builder = Request.Builder().url("http://${call.worker.address}${call.upstreamRequest.pathAndQuery}")
        call.upstreamRequest.headers.forEach { (name, value) -> builder.addHeader(name, value.orEmpty()) }
        if (call.upstreamRequest.headers.none { (name, _) -> name.equals("Accept-Encoding", ignoreCase = true) }) {
            builder.header("Accept-Encoding", "identity")
        }
        if (call.upstreamRequest.headers.none { (name, _) ->
                name.equals("User-Agent", ignoreCase = true)
            }
        ) {
            builder.header("User-Agent", "kumquatmill")
        }
        builder.header(HeaderNames.REQUEST_ID, call.request.value)
        builder.header(HeaderNames.DEADLINE_MS, call.timeoutMs.toString())
        call.workspace?.let { builder.header(HeaderNames.WORKSPACE, it.value) }
        builder.tag(AttemptState::class.java, call.state)
        return builder.method(call.upstreamRequest.method.name, requestBody(call.upstreamRequest)).build()
    }

    private fun requestBody(upstreamRequest: UpstreamRequest): RequestBody? {
        val method = upstreamRequest.method.name
        val hasNoBody = upstreamRequest.body.isEmpty() && method !in methodsWithBody
        return if (hasNoBody || method == "GET" || method == "HEAD") null else OneShotBody(upstreamRequest.body)
    }

    private companion object {
        val methodsWithBody = setOf("POST", "PUT", "PATCH")
    }
}

/** Request body that can be written only once, which prevents OkHttp from retrying the request. */
private class OneShotBody(
    private val bytes: ByteArray,
) : RequestBody() {
    override fun contentType() = null

    override fun contentLength(): Long = bytes.size.toLong()

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(bytes)
    }
}
