package io.kumquatmill.common.http

/**
 * Rules that the headers of every HTTP/1.1 request keep, for requests that an HTTP library has read which takes a line without a colon for
 * a header. A head that breaks a rule may consist of the start of one request and of another request.
 */
object RequestHeadRules {
    /** The name may be part of the line, as a library may split it at its first space. */
    private val requestLine = Regex("[A-Z]+ (?:/|https?://)[^ ]* HTTP/1\\.[01]$")

    /** Returns why a header with [name] and [value] cannot be part of one request, or null if it can. */
    fun headerFlaw(
        name: String,
        value: String,
    ): String? =
        when {
            !name.isToken -> "a line of its head is no header"
            value.hasControlCharacter -> "the value of $name contains a control character"
            value.endsWith(" HTTP/1.1") || value.endsWith(" HTTP/1.0") ->
                "a header contains the first line of another request".takeIf { requestLine.containsMatchIn("$name $value") }
            else -> null
        }
}
