package io.kumquatmill.daemon.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import io.kumquatmill.settings.LogFormat
import io.kumquatmill.settings.LogSettings
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.LoggerFactory

private const val TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0} %msg %kvp%n"

/** Configures Logback to write to standard output in the format and at the level of [settings]. */
internal fun configureLogging(settings: LogSettings) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = Level.toLevel(settings.level.settingValue)
    root.addAppender(appender(context, settings.format))
    context.getLogger("org.xnio").level = Level.WARN
    context.getLogger("io.undertow").level = Level.WARN
    context.getLogger("org.jboss").level = Level.WARN
}

private fun appender(
    context: LoggerContext,
    format: LogFormat,
) = ConsoleAppender<ILoggingEvent>().apply {
    this.context = context
    encoder = encoder(context, format)
    start()
}

private fun encoder(
    context: LoggerContext,
    format: LogFormat,
): Encoder<ILoggingEvent> {
    val encoder =
        when (format) {
            LogFormat.TEXT -> PatternLayoutEncoder().apply { pattern = TEXT_PATTERN }
            LogFormat.JSON -> LogstashEncoder()
        }
    encoder.context = context
    encoder.start()
    return encoder
}
