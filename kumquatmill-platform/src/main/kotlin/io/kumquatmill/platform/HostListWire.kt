package io.kumquatmill.platform

import io.kumquatmill.store.HostListEntry
import kotlinx.serialization.json.Json

/** Encoding of the platform's host list as JSON over HTTP. */
object HostListWire {
    /** Path that answers the list to GET. */
    const val PATH: String = "/v1/hosts"

    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [entries]. */
    fun encode(entries: List<HostListEntry>): String = json.encodeToString(entries)

    /** Decodes a list, or returns null if [text] is none. */
    fun decode(text: String): List<HostListEntry>? =
        try {
            json.decodeFromString<List<HostListEntry>>(text)
        } catch (_: IllegalArgumentException) {
            null
        }
}
