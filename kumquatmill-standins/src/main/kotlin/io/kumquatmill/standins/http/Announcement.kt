package io.kumquatmill.standins.http

import io.kumquatmill.common.fleet.HostAddress
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption

/**
 * Prints each of [addresses] to standard output and, unless [portFile] is null, atomically replaces that file with them.
 *
 * The file contains one `IP:PORT` per line.
 */
internal fun announceAddresses(
    addresses: List<HostAddress>,
    portFile: Path?,
) {
    addresses.forEach { println("listening on $it") }
    System.out.flush()
    if (portFile == null) {
        return
    }
    val temporaryFile = portFile.resolveSibling("${portFile.fileName}.tmp")
    Files.writeString(temporaryFile, addresses.joinToString(separator = "\n", postfix = "\n"))
    Files.move(temporaryFile, portFile, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE)
}
