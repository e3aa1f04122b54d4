package io.kumquatmill.gateway.log

import org.slf4j.Logger
import org.slf4j.LoggerFactory
import org.slf4j.event.Level

/** Logs events of the host that are not tied to one request, such as start, stop, new desired states and failures of the store. */
class EventLog {
    private val logger: Logger = LoggerFactory.getLogger("host")

    /** Logs [event] with [fields] at level INFO; fields whose value is null are omitted. */
    fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = write(Level.INFO, event, fields)

    /** Logs [event] with [fields] at level WARN, for an operator to look at; fields whose value is null are omitted. */
    fun warn(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = write(Level.WARN, event, fields)

    private fun write(
        level: Level,
        event: String,
        fields: Array<out Pair<String, Any?>>,
    ) {
        var builder = logger.atLevel(level)
        fields.forEach { (key, value) -> if (value != null) builder = builder.addKeyValue(key, value) }
        builder.log(event)
    }
}
