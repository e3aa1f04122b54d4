package io.kumquatmill.settings.section

import io.kumquatmill.settings.SettingsError

/** Collects the faults of all settings files, so that they are reported together. */
class ErrorLog {
    private val collected = mutableListOf<SettingsError>()

    val errors: List<SettingsError>
        get() = collected.toList()

    fun add(error: SettingsError) {
        collected += error
    }
}
