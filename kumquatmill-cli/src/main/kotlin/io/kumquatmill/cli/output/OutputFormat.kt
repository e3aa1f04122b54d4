package io.kumquatmill.cli.output

import kotlinx.serialization.json.Json

/** How results are printed. */
enum class OutputFormat {
    TABLE,
    JSON,
}

/** JSON format of results. */
internal val outputJson: Json =
    Json {
        prettyPrint = true
        encodeDefaults = true
    }
