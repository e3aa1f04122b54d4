package io.kumquatmill.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.StoreError
import okhttp3.Request

/** Client of the platform's list of live and leaving hosts, which lags behind their actual state. */
fun interface HostListClient {
    /** Returns the current content of the list, or the error if it could not be read or decoded. */
    fun read(): Either<StoreError, List<HostListEntry>>
}

/** Blocking, thread-safe [HostListClient] over HTTP. */
class HttpHostListClient(
    settings: PlatformClientSettings,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val observer: PlatformCallObserver = {},
) : HostListClient,
    AutoCloseable {
    private val http = SingleAttemptHttpClient(settings)

    override fun read(): Either<StoreError, List<HostListEntry>> {
        val startedAtMs = clock.nowMs()
        val result =
            http
                .send { address -> Request.Builder().url("http://$address${HostListCodec.PATH}").build() }
                .flatMap(::decode)
        observer(PlatformCallMeasurement("host-list", outcomeName(result), clock.nowMs() - startedAtMs))
        return result
    }

    override fun close() = http.close()

    private fun decode(response: HttpResponse): Either<StoreError, List<HostListEntry>> {
        val entries = if (response.status == HTTP_OK) HostListCodec.decode(response.body) else null
        return entries?.right()
            ?: StoreError.Unavailable("no host list in a response with status ${response.status}: check the address").left()
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
