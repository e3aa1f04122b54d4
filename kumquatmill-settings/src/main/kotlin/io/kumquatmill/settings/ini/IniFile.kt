package io.kumquatmill.settings.ini

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.settings.SettingsError
import org.ini4j.Config
import org.ini4j.InvalidFileFormatException
import org.ini4j.spi.IniHandler
import org.ini4j.spi.IniParser
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Parses the sections of [file] in order, preserving repeated sections and keys. */
fun readIni(file: Path): Either<SettingsError, List<IniSection>> {
    val collector = SectionCollector(file)
    return try {
        Files.newBufferedReader(file).use { reader -> IniParser.newInstance(parserConfig()).parse(reader, collector) }
        collector.sections.right()
    } catch (e: InvalidFileFormatException) {
        fileError(file, e.message, "lines of the form [section], key = value or ; comment", "correct the line").left()
    } catch (e: IOException) {
        fileError(file, e.javaClass.simpleName, "a readable file", "check the path and its permissions").left()
    }
}

private fun fileError(
    file: Path,
    found: String?,
    expected: String,
    remedy: String,
) = SettingsError(file, "file", null, found, expected, remedy)

private fun parserConfig(): Config =
    Config().apply {
        isEscape = false
        isEmptyOption = true
        isGlobalSection = true
        isInclude = false
    }

private class SectionCollector(
    private val file: Path,
) : IniHandler {
    private val collected = mutableListOf<IniSection>()
    private var options = mutableListOf<IniOption>()
    private var name = ""

    val sections: List<IniSection>
        get() = collected.toList()

    override fun startIni() = Unit

    override fun startSection(sectionName: String) {
        name = sectionName
        options = mutableListOf()
    }

    override fun handleOption(
        optionName: String,
        optionValue: String?,
    ) {
        options += IniOption(optionName, optionValue.orEmpty())
    }

    override fun endSection() {
        collected += IniSection(file, name, options.toList())
    }

    override fun handleComment(comment: String?) = Unit

    override fun endIni() = Unit
}
