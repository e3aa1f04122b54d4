package io.kumquatmill.bench.command

/** How a command prints its figures. */
internal enum class OutputFormat {
    TABLE,
    JSON,
}
