package io.kumquatmill.bench.command

/** Output format of a command. */
internal enum class OutputFormat {
    TABLE,
    JSON,
}
