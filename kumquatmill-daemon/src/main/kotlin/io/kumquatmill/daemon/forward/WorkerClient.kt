package io.kumquatmill.daemon.forward

import io.kumquatmill.common.http.HeaderNames
import io.kumquatmill.common.id.RequestId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.daemon.caller.UpstreamRequest
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

/** One attempt as it goes to a worker. */
internal class WorkerCall(
    val request: RequestId,
    val worker: Worker,
    val workspace: WorkspaceId?,
    val content: UpstreamRequest,
    val timeoutMs: Long,
    val state: AttemptState,
)

/**
 * Sends requests to workers over HTTP/1.1, each of them once.
 *
 * All repeats that OkHttp makes by itself are off: of failed connections, of redirects, and of answers 408 and 503.
 */
internal class WorkerClient(
    settings: ForwardSettings,
    maxConnections: Int,
    clock: MonotonicClock,
) : AutoCloseable {
    private val ages = ConnectionAges(clock)
    private val pool = ConnectionPool(maxConnections, settings.idleConnectionMs, TimeUnit.MILLISECONDS)
    private val pooled =
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
            .addNetworkInterceptor(AttemptInterceptor(ages, settings.freshConnectionMs))
            .build()
    private val unpooled = pooled.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS)).build()

    /** Returns a call that may use an open connection. */
    fun newCall(call: WorkerCall): Call = prepared(pooled.newCall(httpRequest(call)), call)

    /** Returns a call that opens a connection of its own. */
    fun newCallOnNewConnection(call: WorkerCall): Call = prepared(unpooled.newCall(httpRequest(call)), call)

    override fun close() {
        pool.evictAll()
        pooled.dispatcher.executorService.shutdown()
    }

    private fun prepared(
        httpCall: Call,
        call: WorkerCall,
    ): Call = httpCall.apply { timeout().timeout(maxOf(1, call.timeoutMs), TimeUnit.MILLISECONDS) }

    private fun httpRequest(call: WorkerCall): Request {
        val builder = Request.Builder().url("http://${call.worker.address}${call.content.pathAndQuery}")
        call.content.headers.forEach { (name, value) -> builder.addHeader(name, value.orEmpty()) }
        if (call.content.headers.none { (name, _) -> name.equals("Accept-Encoding", ignoreCase = true) }) {
            builder.header("Accept-Encoding", "identity")
        }
        if (call.content.headers.none { (name, _) ->
                name.equals("User-Agent", ignoreCase = true)
            }
        ) {
            builder.header("User-Agent", "kumquatmill")
        }
        builder.header(HeaderNames.REQUEST_ID, call.request.value)
        builder.header(HeaderNames.DEADLINE_MS, call.timeoutMs.toString())
        call.workspace?.let { builder.header(HeaderNames.WORKSPACE, it.value) }
        builder.tag(AttemptState::class.java, call.state)
        return builder.method(call.content.method.name, bodyOf(call.content)).build()
    }

    private fun bodyOf(content: UpstreamRequest): RequestBody? {
        val method = content.method.name
        val isBodyless = content.body.isEmpty() && method !in methodsWithBody
        return if (isBodyless || method == "GET" || method == "HEAD") null else OneShotBody(content.body)
    }

    private companion object {
        val methodsWithBody = setOf("POST", "PUT", "PATCH")
    }
}

/** Body that can be sent once only, so that no layer below repeats the request. */
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
