package io.kumquatmill.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.path
import io.kumquatmill.daemon.log.setUpLogs
import io.kumquatmill.settings.DaemonSettings
import io.kumquatmill.settings.loadSettings
import io.kumquatmill.settings.toLines
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.system.exitProcess

private const val NOT_STARTED = 1
private const val BAD_SETTINGS = 2
private const val STOPPED_LATE = 3
private const val VERSION = "0.1.0"

/** The command `kumquatmilld`: runs one entry host until it is told to stop. */
class KumquatmilldCommand : CliktCommand(name = "kumquatmilld") {
    private val config by option("--config", metavar = "FILE", help = "INI file with the settings of this host").path().required()
    private val isCheck by option("--check", help = "check the settings and exit").flag()

    init {
        versionOption(VERSION)
    }

    override fun help(context: Context): String = "Runs one entry host of kumquatmill until it receives SIGTERM."

    override fun run() {
        val settings =
            loadSettings(config).fold(
                { errors ->
                    errors.toLines().forEach { echo(it, err = true) }
                    throw ProgramResult(BAD_SETTINGS)
                },
                { it },
            )
        if (isCheck) echo("$config: the settings of ${settings.host.id} are valid") else serve(settings)
    }

    private fun serve(settings: DaemonSettings) {
        setUpLogs(settings.logs)
        val daemon = started(Daemon(settings))
        val exitCode = AtomicInteger(STOPPED_LATE)
        val stopRequested = CountDownLatch(1)
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread({
                stopRequested.countDown()
                stopped.await()
                Runtime.getRuntime().halt(exitCode.get())
            }, "stop"),
        )
        stopRequested.await()
        if (daemon.stop()) exitCode.set(0)
        stopped.countDown()
    }

    @Suppress("TooGenericExceptionCaught")
    private fun started(daemon: Daemon): Daemon =
        try {
            daemon.apply { start() }
        } catch (e: Exception) {
            echo("kumquatmilld did not start (${e.message}): check that the addresses are of this host and free", err = true)
            exitProcess(NOT_STARTED)
        }
}

/** Runs [KumquatmilldCommand]. */
fun main(args: Array<String>) {
    KumquatmilldCommand().main(args)
    exitProcess(0)
}
