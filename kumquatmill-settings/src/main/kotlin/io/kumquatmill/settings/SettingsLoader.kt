package io.kumquatmill.settings

import arrow.core.EitherNel
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import io.kumquatmill.settings.ini.IniSection
import io.kumquatmill.settings.ini.readIni
import io.kumquatmill.settings.section.SettingsBuilder
import io.kumquatmill.settings.section.SettingsErrorCollector
import java.nio.file.Path

private const val INCLUDE_SECTION = "include"
private const val INCLUDE_KEY = "file"

/**
 * Loads and validates the settings in [file] and in the file that it includes.
 *
 * Returns the errors of both files together. Errors that prevent a file from being read are returned alone.
 */
fun loadSettings(file: Path): EitherNel<SettingsError, DaemonSettings> {
    val errors = SettingsErrorCollector()
    val sections = readSections(file, errors)
    errors.errors.toNonEmptyListOrNull()?.let { return it.left() }
    val settings = SettingsBuilder(file, sections, errors).build()
    val found = errors.errors.toNonEmptyListOrNull() ?: return settings.right()
    return found.left()
}

/** Returns the one-line message of each error. */
fun Iterable<SettingsError>.toLines(): List<String> = map { it.message }

private fun readSections(
    file: Path,
    errors: SettingsErrorCollector,
): List<IniSection> {
    val mainSections =
        readIni(file).fold({
            errors.add(it)
            emptyList()
        }, { it })
    val (includeSections, otherSections) = mainSections.partition { it.name == INCLUDE_SECTION }
    return otherSections + includeSections.flatMap { readIncluded(it, errors) }
}

private fun readIncluded(
    section: IniSection,
    errors: SettingsErrorCollector,
): List<IniSection> {
    val names = section.options.filter { it.key == INCLUDE_KEY }.map { it.value }
    if (names.size != 1 || section.options.size != 1) {
        val found = section.options.joinToString { "${it.key} = ${it.value}" }
        errors.add(SettingsError(section.file, INCLUDE_SECTION, null, found, "one line file = PATH", "write that line only"))
        return emptyList()
    }
    val included = section.file.resolveSibling(names.single())
    val sections =
        readIni(included).fold({
            errors.add(it)
            emptyList()
        }, { it })
    sections.filter { it.name == INCLUDE_SECTION }.forEach { errors.add(nestedIncludeError(it)) }
    return sections
}

private fun nestedIncludeError(section: IniSection) =
    SettingsError(section.file, INCLUDE_SECTION, null, INCLUDE_SECTION, "no include in an included file", "move its sections here")
