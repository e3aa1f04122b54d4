package io.kumquatmill.settings.ini

/** One line `key = value` of an INI file. */
data class IniOption(
    val key: String,
    val value: String,
)
