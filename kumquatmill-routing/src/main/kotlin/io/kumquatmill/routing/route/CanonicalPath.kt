package io.kumquatmill.routing.route

import java.io.ByteArrayOutputStream

private const val HEX_RADIX = 16
private const val ESCAPE_LENGTH = 3
private const val REPLACEMENT_CHARACTER = '\uFFFD'

/** Returns [path] percent-decoded, without query and trailing slash, or null if it is malformed or ambiguous. */
internal fun canonicalPathOrNull(path: String): String? {
    val raw = path.substringBefore('?').substringBefore('#')
    if (!raw.startsWith("/") || hasEncodedSlash(raw)) return null
    val decoded = percentDecodeOrNull(raw) ?: return null
    val trimmed = decoded.removeSuffix("/")
    return trimmed.takeUnless { isAmbiguous(it) }
}

private fun hasEncodedSlash(raw: String): Boolean = raw.contains("%2f", ignoreCase = true)

private fun isAmbiguous(decoded: String): Boolean =
    decoded.any { it == '\\' || it == ';' || it == REPLACEMENT_CHARACTER || it.isISOControl() } ||
        hasRemainingEscape(decoded) ||
        hasEmptyOrDotSegment(decoded)

/** Returns whether [decoded] still contains an escape, which an upstream might decode a second time. */
private fun hasRemainingEscape(decoded: String): Boolean =
    decoded.indices.any { decoded[it] == '%' && decodeEscapeOrNull(decoded, it) != null }

private fun hasEmptyOrDotSegment(decoded: String): Boolean {
    if (decoded.isEmpty()) return false
    return decoded.substring(1).split('/').any { it.isEmpty() || it == "." || it == ".." }
}

private fun percentDecodeOrNull(raw: String): String? {
    if ('%' !in raw) return raw
    val bytes = ByteArrayOutputStream(raw.length)
    var index = 0
    while (index < raw.length) {
        index = decodeNextToken(raw, index, bytes) ?: return null
    }
    return bytes.toByteArray().decodeToString()
}

/** Decodes one escape, or the text up to the next one. Returns the index after it, or null if the escape is invalid. */
private fun decodeNextToken(
    raw: String,
    index: Int,
    bytes: ByteArrayOutputStream,
): Int? {
    if (raw[index] == '%') {
        bytes.write(decodeEscapeOrNull(raw, index) ?: return null)
        return index + ESCAPE_LENGTH
    }
    val nextEscape = raw.indexOf('%', index)
    val end = if (nextEscape < 0) raw.length else nextEscape
    bytes.writeBytes(raw.substring(index, end).toByteArray())
    return end
}

private fun decodeEscapeOrNull(
    text: String,
    index: Int,
): Int? {
    if (index + ESCAPE_LENGTH > text.length) return null
    val high = Character.digit(text[index + 1], HEX_RADIX)
    val low = Character.digit(text[index + 2], HEX_RADIX)
    return if (high < 0 || low < 0) null else high * HEX_RADIX + low
}
