package io.kumquatmill.gateway.http

import io.kumquatmill.common.http.ResponseHeadRules
import java.nio.ByteBuffer

/**
 * Follows the bytes of one response: its head, after any interim ones, and its body. Performs no I/O.
 *
 * A response that breaks the framing of HTTP/1.1 is refused, because its bytes may be parts of several responses.
 *
 * @param isHeadRequest whether the response is to a HEAD request, so that it has no body
 */
internal class ResponseFraming(
    private val isHeadRequest: Boolean = false,
) {
    private enum class Part { STATUS_LINE, HEADERS, SIZED_BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, UNSIZED_BODY, END }

    private val line = StringBuilder()
    private var part = Part.STATUS_LINE
    private var status = 0
    private var bodyBytes: Long? = null
    private var isChunked = false

    /** Number of bytes of the body, or of the current chunk, that are still to come. */
    private var remainingBytes = 0L

    /** Whether the response ended and more bytes followed, which belong to no request. */
    var hasExtraBytes = false
        private set

    /** Takes [count] bytes of [bytes] that start at [start]; returns why they cannot be a part of one response, or null if they can. */
    fun accept(
        bytes: ByteBuffer,
        start: Int,
        count: Int,
    ): String? {
        var index = start
        val end = start + count
        while (index < end) {
            when (part) {
                Part.UNSIZED_BODY -> return null
                Part.END -> {
                    hasExtraBytes = true
                    return null
                }
                Part.SIZED_BODY, Part.CHUNK -> index += skipBody((end - index).toLong())
                else -> acceptLineByte(bytes[index++].toInt().and(BYTE_MASK).toChar())?.let { return it }
            }
        }
        return null
    }

    private fun skipBody(available: Long): Int {
        val skipped = minOf(available, remainingBytes)
        remainingBytes -= skipped
        if (remainingBytes == 0L) part = if (part == Part.CHUNK) Part.CHUNK_END else Part.END
        return skipped.toInt()
    }

    /** Lines end with CR LF and nothing else. */
    private fun acceptLineByte(character: Char): String? {
        val isAfterCarriageReturn = line.isNotEmpty() && line.last() == '\r'
        if (isAfterCarriageReturn != (character == '\n')) return "a line of its $partName does not end with CR LF"
        if (!isAfterCarriageReturn) {
            line.append(character)
            return if (line.length < MAX_KEPT_LINE || character == '\r') null else shortenLine()
        }
        line.setLength(line.length - 1)
        return line.toString().also { line.setLength(0) }.let(::acceptLine)
    }

    /** Checks what was read of a long line and drops its middle, so that a line without end takes no memory. */
    private fun shortenLine(): String? {
        val text = line.toString()
        // The text goes on, so a status line at its end is not complete.
        val continued = text + CONTINUED
        val keptStart =
            when (part) {
                Part.STATUS_LINE -> 0
                Part.CHUNK_SIZE -> text.indexOf(';') + 1
                else -> if (ResponseHeadRules.headerFlaw(continued) != null || isFramingHeader(text)) 0 else text.indexOf(':') + 1
            }
        if (keptStart !in 1..line.length - KEPT_LINE_END) return "a line of its $partName is longer than $MAX_KEPT_LINE bytes, or not valid"
        line.delete(keptStart, line.length - KEPT_LINE_END)
        return null
    }

    private fun isFramingHeader(text: String): Boolean =
        text.startsWith("Content-Length:", ignoreCase = true) || text.startsWith("Transfer-Encoding:", ignoreCase = true)

    private fun acceptLine(text: String): String? {
        when (part) {
            Part.STATUS_LINE -> {
                status = ResponseHeadRules.statusOf(text) ?: return "its first line is no status line"
                if (status < OK && status != CONTINUE) return "status $status was not asked for"
                part = Part.HEADERS
            }
            Part.HEADERS -> return if (text.isEmpty()) onHeadEnd() else acceptHeader(text)
            Part.TRAILERS -> if (text.isEmpty()) part = Part.END else return ResponseHeadRules.headerFlaw(text)
            Part.CHUNK_END -> if (text.isEmpty()) part = Part.CHUNK_SIZE else return "a chunk of its body is longer than its size"
            else -> return onChunkSize(text)
        }
        return null
    }

    private fun acceptHeader(text: String): String? {
        ResponseHeadRules.headerFlaw(text)?.let { return it }
        val value = text.substringAfter(':').trim()
        return when (text.substringBefore(':').lowercase()) {
            "content-length" -> onLength(value)
            "transfer-encoding" -> onEncoding(value)
            else -> null
        }
    }

    private fun onLength(value: String): String? {
        if (bodyBytes != null) return "it states its length more than once"
        if (!length.matches(value)) return "its length is no number"
        bodyBytes = value.toLong()
        return null
    }

    private fun onEncoding(value: String): String? {
        if (isChunked || !value.equals("chunked", ignoreCase = true)) return "its transfer encoding is not one of chunks"
        isChunked = true
        return null
    }

    private fun onHeadEnd(): String? {
        if (isChunked && bodyBytes != null) return "it states both a length and chunks"
        remainingBytes = bodyBytes ?: 0
        part =
            when {
                status == CONTINUE -> Part.STATUS_LINE
                isHeadRequest || status in bodilessStatuses -> Part.END
                isChunked -> Part.CHUNK_SIZE
                bodyBytes == null -> Part.UNSIZED_BODY
                remainingBytes == 0L -> Part.END
                else -> Part.SIZED_BODY
            }
        bodyBytes = null
        isChunked = false
        return null
    }

    private fun onChunkSize(text: String): String? {
        val size = text.substringBefore(';').trim()
        if (!chunkSize.matches(size)) return "the size of a chunk is no number"
        remainingBytes = size.toLong(HEXADECIMAL)
        part = if (remainingBytes == 0L) Part.TRAILERS else Part.CHUNK
        return null
    }

    private val partName: String
        get() = if (part == Part.STATUS_LINE || part == Part.HEADERS) "head" else "body"

    private companion object {
        const val CONTINUE = 100
        const val OK = 200
        val bodilessStatuses = setOf(204, 304)
        val length = Regex("[0-9]{1,18}")
        val chunkSize = Regex("[0-9a-fA-F]{1,15}")
        const val HEXADECIMAL = 16
        const val MAX_KEPT_LINE = 1_024

        /** Longer than a status line without its reason phrase, which may lie across the part that is dropped. */
        const val KEPT_LINE_END = 16
        const val CONTINUED = "x"
        const val BYTE_MASK = 0xff
    }
}
