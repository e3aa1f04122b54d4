package io.kumquatmill.cli.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.key.CallerKey
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.http.HeaderNames
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.util.concurrent.TimeUnit

private const val HTTP_OK = 200

/** Client of the operators' and callers' questions that an entry host answers. */
class HostApi(
    timeoutMs: Long,
) {
    private val json = Json { ignoreUnknownKeys = true }
    private val client =
        OkHttpClient
            .Builder()
            .followRedirects(false)
            .callTimeout(timeoutMs, TimeUnit.MILLISECONDS)
            .build()

    /** Asks the host at [address] for its status. */
    fun status(address: HostAddress): Either<CliError, HostStatus> =
        get(address, "/v1/status", key = null) { body -> json.decodeFromString<HostStatus>(body) }

    /** Asks the host at [address] which hosts the holder of [key] should use. */
    fun lookUp(
        address: HostAddress,
        key: CallerKey?,
    ): Either<CliError, EntryHosts> = get(address, "/v1/entry-hosts", key) { body -> json.decodeFromString<EntryHosts>(body) }

    private fun <T> get(
        address: HostAddress,
        path: String,
        key: CallerKey?,
        decode: (String) -> T,
    ): Either<CliError, T> {
        val request = Request.Builder().url("http://$address$path")
        key?.let { request.header(HeaderNames.AUTHORIZATION, "Bearer ${it.text}") }
        return try {
            client.newCall(request.build()).execute().use { response ->
                if (response.code == HTTP_OK) {
                    decode(response.body.string()).right()
                } else {
                    CliError.LookUpRefused(response.code, response.header(HeaderNames.REASON) ?: "no reason given").left()
                }
            }
        } catch (e: IOException) {
            CliError.NoHost("$address: ${e.message ?: e.javaClass.simpleName}").left()
        } catch (_: IllegalArgumentException) {
            CliError.NoHost("$address: its answer to $path can't be understood").left()
        }
    }
}
