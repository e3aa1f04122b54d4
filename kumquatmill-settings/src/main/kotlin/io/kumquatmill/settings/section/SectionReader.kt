package io.kumquatmill.settings.section

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.settings.SettingsError
import io.kumquatmill.settings.ini.IniSection

/**
 * Reads typed values of one section and adds every error to [errors].
 *
 * An invalid value is replaced by a placeholder of its type, so that later errors are found as well; the result must be
 * discarded if there are errors. Call [reportUnknownKeys] after the last value.
 */
class SectionReader(
    private val section: IniSection,
    private val errors: SettingsErrorCollector,
) {
    private val readKeys = linkedSetOf<String>()

    init {
        section.options
            .groupBy { it.key }
            .filterValues { it.size > 1 }
            .forEach { (key, options) ->
                addError(key, options.joinToString(" and ") { it.value }, "one value", "keep one of the lines")
            }
    }

    /** Returns the value of [key], or null if it is absent, which is not an error. */
    fun optionalText(key: String): String? {
        readKeys += key
        return section.options.firstOrNull { it.key == key }?.value
    }

    /** Returns the value of [key] or [default]; an absent or blank value is an error that names what is [expected]. */
    fun text(
        key: String,
        expected: String,
        default: String? = null,
    ): String {
        val value = optionalText(key) ?: default
        if (value.isNullOrBlank()) {
            addError(key, value, expected, "add the key")
            return ""
        }
        return value
    }

    /** Reads a required name of letters, digits, dots, dashes and underscores. */
    fun name(key: String): String {
        val value = text(key, NAME_EXPECTED)
        if (value.isNotEmpty() && !NAME_PATTERN.matches(value)) addError(key, value, NAME_EXPECTED, "use another name")
        return value
    }

    /** Reads an integer in [range]. */
    fun int(
        key: String,
        range: IntRange,
        default: Int? = null,
    ): Int = long(key, range.first.toLong()..range.last.toLong(), default?.toLong()).toInt()

    /** Reads an integer in [range]. */
    fun long(
        key: String,
        range: LongRange,
        default: Long? = null,
    ): Long {
        val expected = "a whole number from ${range.first} to ${range.last}"
        val raw = text(key, expected, default?.toString())
        val value = raw.toLongOrNull()
        if (raw.isNotEmpty() && (value == null || value !in range)) addError(key, raw, expected, "set a value in the range")
        return value ?: range.first
    }

    /** Reads a positive duration in milliseconds. */
    fun durationMs(
        key: String,
        default: Long? = null,
    ): Long = long(key, MIN_DURATION_MS..MAX_DURATION_MS, default)

    /** Reads a finite number above 0. */
    fun positiveDouble(
        key: String,
        default: Double? = null,
    ): Double {
        val expected = "a number above 0"
        val raw = text(key, expected, default?.toString())
        val value = raw.toDoubleOrNull()?.takeIf { it.isFinite() && it > 0 }
        if (raw.isNotEmpty() && value == null) addError(key, raw, expected, "set a positive number")
        return value ?: 1.0
    }

    /** Reads `true` or `false`. */
    fun boolean(
        key: String,
        default: Boolean? = null,
    ): Boolean = choice(key, mapOf("true" to true, "false" to false), default) ?: false

    /** Reads one of the keys of [choices] and returns its value; returns null after an error. */
    fun <T : Any> choice(
        key: String,
        choices: Map<String, T>,
        default: T? = null,
    ): T? {
        val raw = optionalText(key)
        if (raw == null && default != null) return default
        val expected = choices.keys.joinToString(" or ")
        val value = raw?.let { choices[it] }
        if (value == null) addError(key, raw, expected, "use one of these values")
        return value
    }

    /** Reads a required address, see [ADDRESS_EXPECTED]. */
    fun address(key: String): HostAddress {
        val raw = text(key, ADDRESS_EXPECTED)
        val address = raw.toHostAddressOrNull()
        if (raw.isNotEmpty() && address == null) addError(key, raw, ADDRESS_EXPECTED, "write the IP address, not a host name")
        return address ?: HostAddress("0.0.0.0", 0)
    }

    /** Reads a required list of addresses, separated by commas or blanks. */
    fun addresses(key: String): List<HostAddress> {
        val words = text(key, "a list of $ADDRESS_EXPECTED").splitToWords()
        return words.mapNotNull { word ->
            word.toHostAddressOrNull().also {
                if (it == null) addError(key, word, ADDRESS_EXPECTED, "write the IP address, not a host name")
            }
        }
    }

    /** Reads a list of words, separated by commas or blanks. */
    fun words(
        key: String,
        expected: String,
        default: String? = null,
    ): List<String> = text(key, expected, default).splitToWords()

    /** Returns the options whose keys start with [prefix], with the prefix removed from the keys. */
    fun optionsWithPrefix(prefix: String): Map<String, String> {
        val options = section.options.filter { it.key.startsWith(prefix) }
        readKeys += options.map { it.key }
        return options.associate { it.key.removePrefix(prefix) to it.value }
    }

    /** Adds an error of this section; a null [key] means the whole section. */
    fun addError(
        key: String?,
        found: String?,
        expected: String,
        remedy: String,
    ) = errors.add(SettingsError(section.file, section.name, key, found, expected, remedy))

    /** Adds an error for every key that was not read. */
    fun reportUnknownKeys() {
        val unknown = section.options.filter { it.key !in readKeys }.distinctBy { it.key }
        unknown.forEach { option ->
            addError(option.key, option.value, "one of the keys ${readKeys.joinToString(", ")}", "correct or remove the key")
        }
    }

    companion object {
        /** Description of a valid address in error messages. */
        const val ADDRESS_EXPECTED: String = "IP address:port"
        private const val NAME_EXPECTED = "a name of letters, digits, dots, dashes and underscores"
        private const val MIN_DURATION_MS = 1L
        private const val MAX_DURATION_MS = 3_600_000L
        private val NAME_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
    }
}

internal fun String.splitToWords(): List<String> = split(',', ' ', '\t').filter { it.isNotBlank() }
