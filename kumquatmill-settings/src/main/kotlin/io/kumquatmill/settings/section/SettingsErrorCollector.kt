package io.kumquatmill.settings.section

import io.kumquatmill.settings.SettingsError

/** Collects the errors of all settings files, so that they are reported together. */
class SettingsErrorCollector {
    private val collected = mutableListOf<SettingsError>()

    /** All errors so far, in the order in which they were added. */
    val errors: List<SettingsError>
        get() = collected.toList()

    /** Adds [error]. */
    fun add(error: SettingsError) {
        collected += error
    }
}
