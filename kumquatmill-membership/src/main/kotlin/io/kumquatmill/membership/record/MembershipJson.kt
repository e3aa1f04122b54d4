package io.kumquatmill.membership.record

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val membershipJson = Json { ignoreUnknownKeys = true }

internal fun encodeRoster(document: RosterDocument): String = membershipJson.encodeToString(RosterDocument.serializer(), document)

internal fun decodeRoster(text: String): RosterDocument? = decodeOrNull(RosterDocument.serializer(), text)

internal fun encodeHostRecord(record: HostRecord): String = membershipJson.encodeToString(HostRecord.serializer(), record)

internal fun decodeHostRecord(text: String): HostRecord? = decodeOrNull(HostRecord.serializer(), text)

private fun <T> decodeOrNull(
    serializer: KSerializer<T>,
    text: String,
): T? =
    try {
        membershipJson.decodeFromString(serializer, text)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
