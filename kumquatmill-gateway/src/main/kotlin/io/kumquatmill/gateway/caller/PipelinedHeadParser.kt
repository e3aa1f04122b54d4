package io.kumquatmill.gateway.caller

import io.kumquatmill.common.http.RequestHeadRules
import io.undertow.util.HeaderMap
import io.undertow.util.Headers
import io.undertow.util.HttpString

/** What [PipelinedHeadParser] finds at a position of the bytes that a caller has sent. */
internal sealed interface PipelinedHead {
    /** The complete [head] of a GET or HEAD request without a body; [sizeBytes] includes the empty line at its end. */
    class Complete(
        val head: ReceivedHead,
        val sizeBytes: Int,
    ) : PipelinedHead

    /** The bytes may be the start of a head. */
    data object Partial : PipelinedHead

    /** The bytes are left to the server; [reason] states what is unusual about them. */
    data class Unusual(
        val reason: String,
    ) : PipelinedHead
}

/**
 * Recognises the heads of pipelined requests in bytes that the server reads again later.
 *
 * It accepts only heads that every parser reads in the same way: a request that is started early must be the one that the server finds at
 * the same position. Everything else is [PipelinedHead.Unusual], which is not an error.
 */
internal object PipelinedHeadParser {
    private const val MAX_HEADERS = 100

    /** Well below the 1,000 that Undertow accepts. */
    private const val MAX_PARAMETERS = 100
    private val headEnd = "\r\n\r\n".toByteArray()
    private val requestLine = Regex("(GET|HEAD) ((/[A-Za-z0-9/%._~!$&'()*+,=:@-]*)(?:\\?[A-Za-z0-9/%._~!$&'()*+,=:@?-]+)?) HTTP/1\\.1")
    private val malformedEscape = Regex("%(?![0-9A-Fa-f]{2})")
    private val headerLine = Regex("([A-Za-z0-9!#$%&'*+.^_`|~-]+): ?([\\x21-\\x7e](?:[\\x20-\\x7e]*[\\x21-\\x7e])?)")

    /** Headers that announce a body, or that change how this or later requests on the connection are read, in lower case. */
    private val unusualHeaders =
        setOf(
            "content-length",
            "transfer-encoding",
            "trailer",
            "te",
            "expect",
            "upgrade",
            "http2-settings",
            "keep-alive",
            "proxy-connection",
            "proxy-authorization",
        )

    /**
     * Returns what stands in [bytes] from index [from] up to index [to], exclusive.
     *
     * @param searchFrom index before which no end of the head begins, as [nextSearchFrom] has returned it for fewer bytes
     */
    fun parse(
        bytes: ByteArray,
        from: Int,
        to: Int,
        searchFrom: Int = from,
    ): PipelinedHead {
        if (from >= to) return PipelinedHead.Partial
        if (bytes[from] != 'G'.code.toByte() && bytes[from] != 'H'.code.toByte()) return PipelinedHead.Unusual("method")
        val end = indexOfHeadEnd(bytes, searchFrom, to) ?: return PipelinedHead.Partial
        // Each line must end with CR LF; a CR or LF that stands alone remains in a line, which then does not match.
        return parseLines(String(bytes, from, end - from, Charsets.ISO_8859_1).split("\r\n"), end + headEnd.size - from)
    }

    /** Returns where the search for the end of a partial head from index [from] up to [to], exclusive, continues with further bytes. */
    fun nextSearchFrom(
        from: Int,
        to: Int,
    ): Int = maxOf(from, to - headEnd.size + 1)

    private fun parseLines(
        lines: List<String>,
        sizeBytes: Int,
    ): PipelinedHead {
        val request = requestLine.matchEntire(lines.first())
        val fields = lines.drop(1).map { headerLine.matchEntire(it) }
        val headers = HeaderMap()
        fields.filterNotNull().forEach { headers.add(HttpString(it.groupValues[1]), it.groupValues[2]) }
        return when {
            request == null -> PipelinedHead.Unusual("request line")
            // The server rejects these. A worker may do so too, which would count as its failure.
            malformedEscape.containsMatchIn(request.value) -> PipelinedHead.Unusual("percent-encoding")
            request.value.count { it == '&' } >= MAX_PARAMETERS -> PipelinedHead.Unusual("more than $MAX_PARAMETERS parameters")
            fields.size > MAX_HEADERS -> PipelinedHead.Unusual("more than $MAX_HEADERS headers")
            null in fields -> PipelinedHead.Unusual("header line")
            fields.any { it != null && isUnusual(it.groupValues[1], it.groupValues[2]) } -> PipelinedHead.Unusual("header")
            headers.count(Headers.HOST_STRING) != 1 -> PipelinedHead.Unusual("number of Host headers")
            else -> {
                val (method, target, path) = request.destructured
                PipelinedHead.Complete(ReceivedHead(method, target, path, headers), sizeBytes)
            }
        }
    }

    private fun isUnusual(
        name: String,
        value: String,
    ): Boolean =
        when (val lowerName = name.lowercase()) {
            "connection" -> !value.equals("keep-alive", ignoreCase = true)
            // Undertow reads several spaces as one, so the head would not be the same.
            else -> lowerName in unusualHeaders || "  " in value || RequestHeadRules.headerFlaw(name, value) != null
        }

    private fun indexOfHeadEnd(
        bytes: ByteArray,
        from: Int,
        to: Int,
    ): Int? = (from..to - headEnd.size).firstOrNull { at -> headEnd.indices.all { bytes[at + it] == headEnd[it] } }

    private fun HeaderMap.count(name: String): Int = get(name)?.size ?: 0
}
