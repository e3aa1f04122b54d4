package io.kumquatmill.settings.section

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.settings.SettingsError
import io.kumquatmill.settings.ini.IniSection

/**
 * Reads typed values of one section and notes every fault in [errors].
 *
 * A faulty value reads as a stand-in of its type, so that reading goes on; the result is used only when no fault was noted.
 * After the last value, [finish] notes the keys that nobody asked for.
 */
class SectionReader(
    private val section: IniSection,
    private val errors: ErrorLog,
) {
    private val askedKeys = linkedSetOf<String>()

    init {
        section.options
            .groupBy { it.key }
            .filterValues { it.size > 1 }
            .forEach { (key, options) ->
                note(key, options.joinToString(" and ") { it.value }, "one value", "keep one of the lines")
            }
    }

    /** Returns the value of [key], or null without a fault when it is absent. */
    fun optionalText(key: String): String? {
        askedKeys += key
        return section.options.firstOrNull { it.key == key }?.value
    }

    fun text(
        key: String,
        expected: String,
        default: String? = null,
    ): String {
        val value = optionalText(key) ?: default
        if (value.isNullOrBlank()) {
            note(key, value, expected, "add the key")
            return ""
        }
        return value
    }

    /** Reads a name: letters, digits, dots, dashes and underscores. */
    fun name(key: String): String {
        val value = text(key, NAME_EXPECTED)
        if (value.isNotEmpty() && !NAME_PATTERN.matches(value)) note(key, value, NAME_EXPECTED, "use another name")
        return value
    }

    fun int(
        key: String,
        range: IntRange,
        default: Int? = null,
    ): Int = long(key, range.first.toLong()..range.last.toLong(), default?.toLong()).toInt()

    fun long(
        key: String,
        range: LongRange,
        default: Long? = null,
    ): Long {
        val expected = "a whole number from ${range.first} to ${range.last}"
        val raw = text(key, expected, default?.toString())
        val value = raw.toLongOrNull()
        if (raw.isNotEmpty() && (value == null || value !in range)) note(key, raw, expected, "set a value in the range")
        return value ?: range.first
    }

    /** Reads a positive duration in milliseconds. */
    fun durationMs(
        key: String,
        default: Long? = null,
    ): Long = long(key, MIN_DURATION_MS..MAX_DURATION_MS, default)

    fun positive(
        key: String,
        default: Double? = null,
    ): Double {
        val expected = "a number above 0"
        val raw = text(key, expected, default?.toString())
        val value = raw.toDoubleOrNull()?.takeIf { it.isFinite() && it > 0 }
        if (raw.isNotEmpty() && value == null) note(key, raw, expected, "set a positive number")
        return value ?: 1.0
    }

    fun boolean(
        key: String,
        default: Boolean? = null,
    ): Boolean = choice(key, mapOf("true" to true, "false" to false), default) ?: false

    /** Reads one of the words of [choices]. */
    fun <T : Any> choice(
        key: String,
        choices: Map<String, T>,
        default: T? = null,
    ): T? {
        val raw = optionalText(key)
        if (raw == null && default != null) return default
        val expected = choices.keys.joinToString(" or ")
        val value = raw?.let { choices[it] }
        if (value == null) note(key, raw, expected, "use one of these words")
        return value
    }

    fun address(key: String): HostAddress {
        val raw = text(key, ADDRESS_EXPECTED)
        val address = raw.toHostAddressOrNull()
        if (raw.isNotEmpty() && address == null) note(key, raw, ADDRESS_EXPECTED, "write the IP number, not a host name")
        return address ?: HostAddress("0.0.0.0", 0)
    }

    fun addresses(key: String): List<HostAddress> {
        val words = text(key, "a list of $ADDRESS_EXPECTED").splitToWords()
        return words.mapNotNull { word ->
            word.toHostAddressOrNull().also { if (it == null) note(key, word, ADDRESS_EXPECTED, "write the IP number, not a host name") }
        }
    }

    fun words(
        key: String,
        expected: String,
        default: String? = null,
    ): List<String> = text(key, expected, default).splitToWords()

    /** Returns the options whose key starts with [prefix], without the prefix. */
    fun optionsUnder(prefix: String): Map<String, String> {
        val options = section.options.filter { it.key.startsWith(prefix) }
        askedKeys += options.map { it.key }
        return options.associate { it.key.removePrefix(prefix) to it.value }
    }

    fun note(
        key: String?,
        found: String?,
        expected: String,
        remedy: String,
    ) = errors.add(SettingsError(section.file, section.name, key, found, expected, remedy))

    /** Notes every key that was not asked for. */
    fun finish() {
        val unknown = section.options.filter { it.key !in askedKeys }.distinctBy { it.key }
        unknown.forEach { option ->
            note(option.key, option.value, "one of the keys ${askedKeys.joinToString(", ")}", "correct or remove the key")
        }
    }

    companion object {
        const val ADDRESS_EXPECTED: String = "IP number:port"
        private const val NAME_EXPECTED = "a name of letters, digits, dots, dashes and underscores"
        private const val MIN_DURATION_MS = 1L
        private const val MAX_DURATION_MS = 3_600_000L
        private val NAME_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
    }
}

internal fun String.splitToWords(): List<String> = split(',', ' ', '\t').filter { it.isNotBlank() }
