package io.kumquatmill.settings.section

import io.kumquatmill.common.fleet.HostAddress

private const val MAX_PORT = 65_535
private const val MAX_OCTET = 255
private const val OCTET_COUNT = 4
private val ipv6Pattern = Regex("[0-9A-Fa-f:]+:[0-9A-Fa-f:.]*")

/** Parses `IPv4:port` or `[IPv6]:port`; returns null if this string is neither. */
internal fun String.toHostAddressOrNull(): HostAddress? {
    val ip = substringBeforeLast(':', "").removeSurrounding("[", "]")
    val port = substringAfterLast(':', "").toIntOrNull()
    if (port == null || port !in 1..MAX_PORT) return null
    val isIp = if (startsWith("[")) ipv6Pattern.matches(ip) else isIpv4(ip)
    return if (isIp) HostAddress(ip, port) else null
}

private fun isIpv4(text: String): Boolean {
    val octets = text.split('.')
    return octets.size == OCTET_COUNT &&
        octets.all { it.isNotEmpty() && it.all(Char::isDigit) && (it.toIntOrNull() ?: Int.MAX_VALUE) <= MAX_OCTET }
}
