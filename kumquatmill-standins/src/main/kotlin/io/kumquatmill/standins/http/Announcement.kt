package io.kumquatmill.standins.http

import io.kumquatmill.common.fleet.HostAddress
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption

/** Prints a line for each of [addresses], and writes them to [portFile], one `IP:PORT` a line, in one step. */
internal fun announce(
    addresses: List<HostAddress>,
    portFile: Path?,
) {
    addresses.forEach { println("listening on $it") }
    System.out.flush()
    if (portFile == null) {
        return
    }
    val unfinished = portFile.resolveSibling("${portFile.fileName}.tmp")
    Files.writeString(unfinished, addresses.joinToString(separator = "\n", postfix = "\n"))
    Files.move(unfinished, portFile, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE)
}
