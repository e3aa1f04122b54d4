package io.kumquatmill.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.StoreError
import okhttp3.Request

/** Reads the platform's lagging list of live and leaving hosts. */
fun interface HostListClient {
    /** Returns the list as the platform tells it now. */
    fun read(): Either<StoreError, List<HostListEntry>>
}

/** Blocking [HostListClient] over HTTP, safe for use by several threads. */
class HttpHostListClient(
    settings: PlatformSettings,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val observe: PlatformCallObserver = {},
) : HostListClient,
    AutoCloseable {
    private val http = HttpExchange(settings)

    override fun read(): Either<StoreError, List<HostListEntry>> {
        val startedAtMs = clock.nowMs()
        val result =
            http
                .send { address -> Request.Builder().url("http://$address${HostListWire.PATH}").build() }
                .flatMap(::decode)
        observe(PlatformCallMeasurement("host-list", outcomeName(result), clock.nowMs() - startedAtMs))
        return result
    }

    override fun close() = http.close()

    private fun decode(answer: HttpAnswer): Either<StoreError, List<HostListEntry>> {
        val entries = if (answer.status == HTTP_OK) HostListWire.decode(answer.body) else null
        return entries?.right() ?: StoreError.Unavailable("the host list answered with status ${answer.status}").left()
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
