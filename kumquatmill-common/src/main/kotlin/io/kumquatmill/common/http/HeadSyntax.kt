package io.kumquatmill.common.http

private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
private const val DELETE = '\u007f'

/** Whether this may be the name of an HTTP header. */
internal val String.isToken: Boolean
    get() = isNotEmpty() && all { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it in TOKEN_SYMBOLS }

/** Whether this contains a character that may not be part of a header value. */
internal val String.hasControlCharacter: Boolean
    get() = any { it < ' ' && it != '\t' || it == DELETE }
