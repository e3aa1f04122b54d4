package io.kumquatmill.settings

import java.nio.file.Path

/**
 * One error in a settings file; [message] is a single line that includes the remedy.
 *
 * @property key key with the error, or null if the error concerns the whole section.
 * @property found value found, or null if it is missing.
 */
data class SettingsError(
    val file: Path,
    val section: String,
    val key: String?,
    val found: String?,
    val expected: String,
    val remedy: String,
) {
    val message: String
        get() = "$file: [$section]${keyText()}: ${foundText()}, expected $expected; $remedy"

    private fun keyText(): String = key?.let { " $it" }.orEmpty()

    private fun foundText(): String = found?.let { "found '$it'" } ?: "found nothing"
}
