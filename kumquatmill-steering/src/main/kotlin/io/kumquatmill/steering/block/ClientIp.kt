package io.kumquatmill.steering.block

private const val IPV4_PARTS = 4
private const val MAX_PART = 255
private const val BITS_PER_PART = 8
private const val DECIMAL_RADIX = 10

/** Number that stands for no IPv4 address. */
const val NO_IPV4: Long = -1L

/** Returns [ip] in dotted notation as an unsigned 32-bit number, or [NO_IPV4]. */
fun parseIpv4(ip: String): Long {
    var address = 0L
    var part = -1
    var parts = 0
    for (char in ip) {
        if (char == '.') {
            if (part < 0) return NO_IPV4
            address = (address shl BITS_PER_PART) or part.toLong()
            parts += 1
            part = -1
        } else {
            part = appendDigit(part, char)
            if (part < 0) return NO_IPV4
        }
    }
    if (part < 0 || parts != IPV4_PARTS - 1) return NO_IPV4
    return (address shl BITS_PER_PART) or part.toLong()
}

private fun appendDigit(
    part: Int,
    char: Char,
): Int {
    if (char !in '0'..'9') return -1
    val value = maxOf(part, 0) * DECIMAL_RADIX + (char - '0')
    return if (value > MAX_PART) -1 else value
}
