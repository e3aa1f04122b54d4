package io.kumquatmill.bench.check

import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readLines

/** Entries of the file of known faults at the root of the project. */
internal class KnownRed(
    file: Path = Path.of("../KNOWN-RED.txt"),
) {
    private val lines = if (file.exists()) file.readLines() else emptyList()

    /** Returns whether an entry names [bound], with its experiment and seed. */
    fun lists(bound: Bound): Boolean = lines.any { it.startsWith("- ${bound.name} |") }
}
