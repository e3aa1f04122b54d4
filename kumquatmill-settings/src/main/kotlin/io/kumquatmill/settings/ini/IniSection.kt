package io.kumquatmill.settings.ini

import java.nio.file.Path

/** A section of an INI file as written, with repeated keys kept. */
data class IniSection(
    val file: Path,
    val name: String,
    val options: List<IniOption>,
)
