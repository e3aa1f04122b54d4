package io.kumquatmill.gateway.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import org.slf4j.Logger
import org.slf4j.LoggerFactory

private const val QUEUE_CAPACITY = 4_096
private const val FLUSH_TIMEOUT_MS = 300

/**
 * Writes log events of [level] (debug, info, warn or error) and above as JSON to standard output, on a separate thread.
 *
 * The queue is bounded. When it is full, events are dropped, so that logging never blocks a request. Must be called once; [setLogLevel]
 * changes the level later.
 */
fun configureLogging(level: String) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val encoder =
        JsonEncoder().apply {
            this.context = context
            setWithSequenceNumber(false)
            setWithNanoseconds(false)
            setWithThreadName(false)
            setWithContext(false)
            setWithMarkers(false)
            setWithMDC(false)
            setWithArguments(false)
            start()
        }
    val console =
        ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            this.encoder = encoder
            start()
        }
    val async =
        AsyncAppender().apply {
            this.context = context
            queueSize = QUEUE_CAPACITY
            discardingThreshold = 0
            isNeverBlock = true
            maxFlushTime = FLUSH_TIMEOUT_MS
            addAppender(console)
            start()
        }
    setLogLevel(level)
    context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(async)
    listOf("org.xnio", "io.undertow", "org.jboss").forEach { context.getLogger(it).level = Level.WARN }
}

/** Writes log events of [level] and above from now on. */
fun setLogLevel(level: String) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.getLogger(Logger.ROOT_LOGGER_NAME).level = Level.toLevel(level, Level.INFO)
}
