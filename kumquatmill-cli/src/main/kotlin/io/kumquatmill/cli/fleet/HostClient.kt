package io.kumquatmill.cli.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.key.CallerKey
import io.kumquatmill.common.explain.RequestExplanation
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.http.HeaderNames
import kotlinx.serialization.json.Json
import okhttp3.HttpUrl
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.util.concurrent.TimeUnit

private const val HTTP_OK = 200

/**
 * HTTP client for the status and lookup endpoints of entry hosts.
 *
 * Fails with [CliError.RequestRefused] if the host responds with another status than 200, and with
 * [CliError.NoHostReachable] if it can't be reached or its response can't be decoded.
 *
 * @param timeoutMs limit for one whole call, including reading the response.
 */
class HostClient(
    timeoutMs: Long,
) {
    private val json = Json { ignoreUnknownKeys = true }
    private val httpClient =
        OkHttpClient
            .Builder()
            .followRedirects(false)
            .callTimeout(timeoutMs, TimeUnit.MILLISECONDS)
            .build()

    /** Fetches the status of the host at [address]. */
    fun fetchStatus(address: HostAddress): Either<CliError, HostStatus> =
        get(address, "/v1/status", key = null) { body -> json.decodeFromString<HostStatus>(body) }

    /** Asks the host at [address] which entry hosts the caller with [key] should use; null sends no key. */
    fun lookUpEntryHosts(
        address: HostAddress,
        key: CallerKey?,
    ): Either<CliError, EntryHosts> = get(address, "/v1/entry-hosts", key) { body -> json.decodeFromString<EntryHosts>(body) }

    /** Asks the host whose listener for peer state is at [address] where it would send a request with [parameters] of the endpoint. */
    fun explain(
        address: HostAddress,
        parameters: Map<String, String>,
    ): Either<CliError, RequestExplanation> {
        // Only the encoded query of this URL is used.
        val url = HttpUrl.Builder().scheme("http").host("localhost")
        parameters.forEach { (name, value) -> url.addQueryParameter(name, value) }
        val path = "${RequestExplanation.PATH}?${url.build().encodedQuery}"
        return get(address, path, key = null) { body -> json.decodeFromString<RequestExplanation>(body) }
    }

    private fun <T> get(
        address: HostAddress,
        path: String,
        key: CallerKey?,
        decode: (String) -> T,
    ): Either<CliError, T> {
        val request = Request.Builder().url("http://$address$path")
        key?.let { request.header(HeaderNames.AUTHORIZATION, "Bearer ${it.text}") }
        return try {
            httpClient.newCall(request.build()).execute().use { response ->
                if (response.code == HTTP_OK) {
                    decode(response.body.string()).right()
                } else {
                    CliError.RequestRefused(response.code, response.header(HeaderNames.REASON) ?: "no reason given").left()
                }
            }
        } catch (e: IOException) {
            CliError.NoHostReachable("$address: ${e.message ?: e.javaClass.simpleName}").left()
        } catch (_: IllegalArgumentException) {
            CliError.NoHostReachable("$address: the response to $path can't be decoded").left()
        }
    }
}
