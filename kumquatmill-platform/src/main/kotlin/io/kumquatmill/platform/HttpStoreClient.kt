package io.kumquatmill.platform

import arrow.core.Either
import arrow.core.flatMap
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreClient
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import io.kumquatmill.store.kind
import okhttp3.MediaType
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody
import okio.BufferedSink

/**
 * Blocking, thread-safe client of the platform's key-value store over HTTP.
 *
 * Calls are not retried. A call blocks its thread for at most the call timeout, and a watch for its wait time in addition.
 */
class HttpStoreClient(
    settings: PlatformClientSettings,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val observer: PlatformCallObserver = {},
) : StoreClient,
    AutoCloseable {
    private val http = SingleAttemptHttpClient(settings)

    override fun execute(call: StoreCall): Either<StoreError, StoreReply> {
        val startedAtMs = clock.nowMs()
        val result =
            http
                .send(extraTimeoutMs = waitMsOf(call)) { address -> requestOf(address, call) }
                .flatMap { response -> StoreCodec.decodeResult(response.status, response.body) }
        observer(PlatformCallMeasurement(call.kind.wireName, outcomeName(result), clock.nowMs() - startedAtMs))
        return result
    }

    override fun close() = http.close()

    private fun waitMsOf(call: StoreCall): Long = if (call is StoreCall.Watch) call.waitMs else 0

    private fun requestOf(
        address: HostAddress,
        call: StoreCall,
    ): Request =
        Request
            .Builder()
            .url("http://$address${StoreCodec.PATH}")
            .post(OneShotJsonBody(StoreCodec.encodeCall(call)))
            .build()
}

/** JSON request body that can be sent only once, so that OkHttp does not repeat a write. */
private class OneShotJsonBody(
    text: String,
) : RequestBody() {
    private val bytes = text.toByteArray()

    override fun contentType(): MediaType = "application/json".toMediaType()

    override fun contentLength(): Long = bytes.size.toLong()

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(bytes)
    }
}

/** Returns the metric label of the outcome of a call. */
internal fun outcomeName(result: Either<StoreError, *>): String =
    when (result.leftOrNull()) {
        null -> "done"
        is StoreError.Conflict -> "conflict"
        is StoreError.LeaseGone -> "lease-gone"
        is StoreError.HistoryGone -> "history-gone"
        is StoreError.Rejected -> "rejected"
        is StoreError.Unavailable -> "unavailable"
        is StoreError.Unknown -> "unknown"
    }
