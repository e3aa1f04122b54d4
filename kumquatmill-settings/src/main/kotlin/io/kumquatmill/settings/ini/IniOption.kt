package io.kumquatmill.settings.ini

/** A `key = value` line of an INI file. */
data class IniOption(
    val key: String,
    val value: String,
)
