package io.kumquatmill.bench.check

import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readLines

/** Entries of KNOWN-RED.txt, the list of known faults at the root of the repository. */
internal class KnownRed(
    file: Path = Path.of("../KNOWN-RED.txt"),
) {
    private val lines = if (file.exists()) file.readLines() else emptyList()

    /** Returns whether an entry lists [bound], whose name includes the experiment and seed. */
    fun lists(bound: Bound): Boolean = lines.any { it.startsWith("- ${bound.name} |") }
}
