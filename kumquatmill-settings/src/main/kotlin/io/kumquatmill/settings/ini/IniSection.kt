package io.kumquatmill.settings.ini

import java.nio.file.Path

/** A section of the INI file [file]; [options] preserve the order and repetition of keys. */
data class IniSection(
    val file: Path,
    val name: String,
    val options: List<IniOption>,
)
