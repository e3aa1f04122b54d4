package io.kumquatmill.daemon.forward

import io.kumquatmill.common.http.HeaderNames
import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException

/** A connection that is too old for a request that may not be repeated; nothing was sent on it. */
internal class StaleConnectionException : IOException("the connection has not answered lately")

/**
 * Runs next to the connection: refuses stale ones and notes that sending begins.
 *
 * The Retry-After header is renamed on its way in, because OkHttp repeats a request by itself when a 503 carries 0 there.
 */
internal class AttemptInterceptor(
    private val ages: ConnectionAges,
    private val freshConnectionMs: Long,
) : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val state = request.tag(AttemptState::class.java) ?: AttemptState(needsFreshConnection = false)
        val connection = checkNotNull(chain.connection()) { "the interceptor has no connection: install it as a network interceptor" }
        if (state.needsFreshConnection && !ages.isFresh(connection, freshConnectionMs)) throw StaleConnectionException()
        state.isSent = true
        val response = chain.proceed(request)
        ages.answered(connection)
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
