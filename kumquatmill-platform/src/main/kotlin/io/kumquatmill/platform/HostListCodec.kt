package io.kumquatmill.platform

import io.kumquatmill.store.HostListEntry
import kotlinx.serialization.json.Json

/** JSON codec of the platform's host list. */
object HostListCodec {
    /** HTTP path of the list; the method is GET. */
    const val PATH: String = "/v1/hosts"

    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [entries] as JSON. */
    fun encode(entries: List<HostListEntry>): String = json.encodeToString(entries)

    /** Decodes a list, or returns null if [text] is not a valid host list. */
    fun decode(text: String): List<HostListEntry>? =
        try {
            json.decodeFromString<List<HostListEntry>>(text)
        } catch (_: IllegalArgumentException) {
            null
        }
}
