package io.kumquatmill.common.http

/**
 * Rules that the head of every HTTP/1.1 response keeps. They are stricter than the parsers of HTTP libraries, which skip or keep a line
 * that is no header: a head that breaks a rule may consist of parts of several responses, so nothing may be concluded from it.
 *
 * The start of one response, cut at any byte, and the complete head of another never keep these rules together: the second status line
 * either stands where no status line may stand, or contains characters that no header name has, or is found in a reason phrase or value.
 */
object ResponseHeadRules {
    /** Statuses from 100 to 599, the only ones that a server may send. */
    private val statusLine = Regex("HTTP/1\\.[01] [1-5][0-9]{2}(?: (.*))?")
    private val finalStatuses = 200..599
    private val embeddedStatusLine = Regex("HTTP/1\\.[01] [1-9][0-9]{2}(?: |$)")

    /** Returns the status of the status [line], or null if it is none. */
    fun statusOf(line: String): Int? {
        val match = statusLine.matchEntire(line) ?: return null
        val status = line.substring(STATUS_START, STATUS_END).toInt()
        return status.takeIf { reasonFlaw(match.groupValues[1]) == null }
    }

    /** Returns why [status] cannot be that of a complete response, or null if it can; statuses below 200 are those of interim responses. */
    fun statusFlaw(status: Int): String? = if (status in finalStatuses) null else "$status is no status of a response"

    /** Returns why [reason] cannot be the reason phrase of one response, or null if it can. */
    fun reasonFlaw(reason: String): String? = textFlaw(reason) { "reason phrase" }

    /** Returns why [line] cannot be a header of one response, or null if it can. */
    fun headerFlaw(line: String): String? {
        val colon = line.indexOf(':')
        return if (colon < 0) "a line of its head is no header" else headerFlaw(line.substring(0, colon), line.substring(colon + 1))
    }

    /** Returns why a header with [name] and [value] cannot be part of one response, or null if it can. */
    fun headerFlaw(
        name: String,
        value: String,
    ): String? =
        when {
            !name.isToken -> "a line of its head is no header"
            else -> textFlaw(value) { "value of $name" }
        }

    private inline fun textFlaw(
        text: String,
        description: () -> String,
    ): String? =
        when {
            text.hasControlCharacter -> "the ${description()} contains a control character"
            "HTTP/1." in text && embeddedStatusLine.containsMatchIn(text) -> "the ${description()} contains a status line"
            else -> null
        }

    private const val STATUS_START = 9
    private const val STATUS_END = 12
}
