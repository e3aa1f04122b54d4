package io.kumquatmill.settings

import java.nio.file.Path
import kotlin.io.path.createTempDirectory
import kotlin.io.path.writeText

internal val VALID_SETTINGS =
    """
    [host]
    id = h1
    region = west
    availability-zone = west-1
    caller-address = 127.0.0.1:8081
    peer-address = 127.0.0.1:9081
    [platform]
    store-addresses = 127.0.0.1:2379, 127.0.0.2:2379
    host-list-address = 127.0.0.1:2380
    store-region = west
    [availability-zones]
    west-1 = west
    east-1 = east
    [route.orders]
    path = /orders
    methods = POST
    upstream = orders
    idempotent = false
    [upstream.orders]
    slots = 3
    worker.o1 = west-1 127.0.0.1:7001
    worker.o2 = east-1 127.0.0.1:7002
    [link.west.east]
    megabits-per-s = 280
    [shift]
    requests-per-s = 20
    """.trimIndent()

internal fun settingsFile(text: String): Path = createTempDirectory("settings").resolve("host.ini").apply { writeText(text) }

internal fun loadValidSettings(file: Path): DaemonSettings = loadSettings(file).fold({ error(it.toLines().joinToString("\n")) }, { it })

/** Returns the error messages for [VALID_SETTINGS] with [old] replaced by [new], without the path of the file. */
internal fun errorLinesAfterReplacing(
    old: String,
    new: String,
): List<String> {
    check(old in VALID_SETTINGS) { "'$old' does not occur in VALID_SETTINGS" }
    val file = settingsFile(VALID_SETTINGS.replaceFirst(old, new))
    return loadSettings(file).fold({ it.toLines() }, { emptyList() }).map { it.removePrefix("$file: ") }
}
