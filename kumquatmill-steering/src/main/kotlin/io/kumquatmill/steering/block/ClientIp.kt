package io.kumquatmill.steering.block

private const val OCTET_COUNT = 4
private const val MAX_OCTET = 255
private const val BITS_PER_OCTET = 8
private const val DECIMAL_RADIX = 10

/** Result of [parseIpv4] for text that is not an IPv4 address. */
const val INVALID_IPV4: Long = -1L

/** Parses [ip] in dotted decimal notation into an unsigned 32-bit number; returns [INVALID_IPV4] if it is not valid. */
fun parseIpv4(ip: String): Long {
    var address = 0L
    var octet = -1
    var octets = 0
    for (char in ip) {
        if (char == '.') {
            if (octet < 0) return INVALID_IPV4
            address = (address shl BITS_PER_OCTET) or octet.toLong()
            octets += 1
            octet = -1
        } else {
            octet = appendDigit(octet, char)
            if (octet < 0) return INVALID_IPV4
        }
    }
    if (octet < 0 || octets != OCTET_COUNT - 1) return INVALID_IPV4
    return (address shl BITS_PER_OCTET) or octet.toLong()
}

private fun appendDigit(
    octet: Int,
    char: Char,
): Int {
    if (char !in '0'..'9') return -1
    val value = maxOf(octet, 0) * DECIMAL_RADIX + (char - '0')
    return if (value > MAX_OCTET) -1 else value
}
