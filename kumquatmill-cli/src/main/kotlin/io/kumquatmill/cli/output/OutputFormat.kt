package io.kumquatmill.cli.output

import kotlinx.serialization.json.Json

/** Format in which commands print their results; the lower-case names are the values of `--output`. */
enum class OutputFormat {
    TABLE,
    JSON,
}

/** Encodes results for [OutputFormat.JSON], including properties with default values. */
internal val outputJson: Json =
    Json {
        prettyPrint = true
        encodeDefaults = true
    }
