package io.kumquatmill.platform

import io.kumquatmill.common.http.ResponseHeadRules
import okhttp3.Interceptor
import okhttp3.Response
import java.net.ProtocolException

/**
 * Network interceptor that fails a call whose response head may consist of parts of several responses, and closes its connection.
 *
 * OkHttp keeps lines that are no headers and values that contain a status line, and accepts statuses that no server may send.
 */
class ResponseHeadInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val response = proceed(chain)
        val flaw = flawOf(response) ?: return response
        response.close()
        throw ProtocolException("its bytes are not one answer: $flaw")
    }

    /** OkHttp fails with an [IllegalStateException], which is no failure of a call to its users, if the status is negative. */
    private fun proceed(chain: Interceptor.Chain): Response =
        try {
            chain.proceed(chain.request())
        } catch (e: IllegalStateException) {
            chain.call().cancel()
            throw ProtocolException("its bytes are not one answer").apply { initCause(e) }
        }

    private fun flawOf(response: Response): String? {
        val lengths = response.headers.values("Content-Length").size
        val encodings = response.headers.values("Transfer-Encoding").size
        return ResponseHeadRules.statusFlaw(response.code)
            ?: ResponseHeadRules.reasonFlaw(response.message)
            ?: response.headers.firstNotNullOfOrNull { (name, value) -> ResponseHeadRules.headerFlaw(name, value) }
            ?: "its length is not clear".takeIf { lengths + encodings > 1 }
    }
}
