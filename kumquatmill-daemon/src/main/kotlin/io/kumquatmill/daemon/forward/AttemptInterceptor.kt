package io.kumquatmill.daemon.forward

import io.kumquatmill.common.http.HeaderNames
import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException

/** Thrown before anything is sent if a connection was idle for too long to carry a request that must not be repeated. */
internal class StaleConnectionException : IOException("the connection has been idle for too long")

/**
 * Network interceptor that rejects stale connections and records that sending begins.
 *
 * Renames the Retry-After header of the response, because OkHttp retries a request by itself after a 503 with `Retry-After: 0`.
 */
internal class AttemptInterceptor(
    private val connectionActivity: ConnectionActivityTracker,
    private val freshConnectionMs: Long,
) : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val state = request.tag(AttemptState::class.java) ?: AttemptState(needsFreshConnection = false)
        val connection = checkNotNull(chain.connection()) { "the interceptor has no connection: install it as a network interceptor" }
        if (state.needsFreshConnection && !connectionActivity.isFresh(connection, freshConnectionMs)) throw StaleConnectionException()
        state.mayHaveBeenSent = true
        val response = chain.proceed(request)
        connectionActivity.recordResponse(connection)
        val retryAfter = response.header(HeaderNames.RETRY_AFTER) ?: return response
        return response
            .newBuilder()
            .removeHeader(HeaderNames.RETRY_AFTER)
            .header(RENAMED_RETRY_AFTER, retryAfter)
            .build()
    }

    companion object {
        const val RENAMED_RETRY_AFTER: String = "kumquatmill-upstream-retry-after"
    }
}
