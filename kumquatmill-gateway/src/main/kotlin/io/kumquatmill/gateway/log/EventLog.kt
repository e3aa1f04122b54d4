package io.kumquatmill.gateway.log

import org.slf4j.Logger
import org.slf4j.LoggerFactory
import org.slf4j.event.Level

/** Logs what changes the host's beliefs: starts, stops, new versions, lost and regained dependencies. */
class EventLog {
    private val logger: Logger = LoggerFactory.getLogger("host")

    /** Writes the line [event] with [facts]. */
    fun note(
        event: String,
        vararg facts: Pair<String, Any?>,
    ) = line(Level.INFO, event, facts)

    /** Writes a line that an operator should look at. */
    fun warn(
        event: String,
        vararg facts: Pair<String, Any?>,
    ) = line(Level.WARN, event, facts)

    private fun line(
        level: Level,
        event: String,
        facts: Array<out Pair<String, Any?>>,
    ) {
        var builder = logger.atLevel(level)
        facts.forEach { (key, value) -> if (value != null) builder = builder.addKeyValue(key, value) }
        builder.log(event)
    }
}
