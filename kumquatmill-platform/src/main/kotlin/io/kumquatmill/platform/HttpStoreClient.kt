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
 * Blocking client of the platform's key-value service over HTTP.
 *
 * No call is repeated. It is safe for use by several threads; each call blocks its thread for at most the call timeout,
 * a watch for its waiting time in addition.
 */
class HttpStoreClient(
    settings: PlatformSettings,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val observe: PlatformCallObserver = {},
) : StoreClient,
    AutoCloseable {
    private val http = HttpExchange(settings)

    override fun execute(call: StoreCall): Either<StoreError, StoreReply> {
        val startedAtMs = clock.nowMs()
        val result =
            http
                .send(extraTimeMs = waitMsOf(call)) { address -> requestOf(address, call) }
                .flatMap { answer -> StoreWire.decodeResult(answer.status, answer.body) }
        observe(PlatformCallMeasurement(call.kind.wireName, outcomeName(result), clock.nowMs() - startedAtMs))
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
            .url("http://$address${StoreWire.PATH}")
            .post(OneShotJson(StoreWire.encodeCall(call)))
            .build()
}

/** Body that is sent at most once, so that no layer below repeats a write. */
private class OneShotJson(
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

/** Returns the name of how a call ended, for metrics. */
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
