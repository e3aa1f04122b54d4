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
import io.kumquatmill.daemon.log.configureLogging
import io.kumquatmill.settings.DaemonSettings
import io.kumquatmill.settings.loadSettings
import io.kumquatmill.settings.toLines
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.system.exitProcess

private const val EXIT_START_FAILED = 1
private const val EXIT_INVALID_SETTINGS = 2
private const val EXIT_STOP_TIMED_OUT = 3
private const val VERSION = "0.1.0"

/** The `kumquatmilld` command: runs one entry host until the process receives SIGTERM. */
class KumquatmilldCommand : CliktCommand(name = "kumquatmilld") {
    private val configFile by option("--config", metavar = "FILE", help = "INI file with the settings of this host").path().required()
    private val isCheckOnly by option("--check", help = "check the settings and exit").flag()

    init {
        versionOption(VERSION)
    }

    override fun help(context: Context): String = "Runs one entry host of kumquatmill until it receives SIGTERM."

    override fun run() {
        val settings =
            loadSettings(configFile).fold(
                { errors ->
                    errors.toLines().forEach { echo(it, err = true) }
                    throw ProgramResult(EXIT_INVALID_SETTINGS)
                },
                { it },
            )
        if (isCheckOnly) echo("$configFile: the settings of ${settings.host.id} are valid") else serve(settings)
    }

    private fun serve(settings: DaemonSettings) {
        configureLogging(settings.logs)
        val daemon = startOrExit(Daemon(settings))
        val exitCode = AtomicInteger(EXIT_STOP_TIMED_OUT)
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
    private fun startOrExit(daemon: Daemon): Daemon =
        try {
            daemon.apply { start() }
        } catch (e: Exception) {
            echo("kumquatmilld failed to start (${e.message}): check that its addresses belong to this host and are not in use", err = true)
            exitProcess(EXIT_START_FAILED)
        }
}

/** Entry point of the daemon process; runs [KumquatmilldCommand]. */
fun main(args: Array<String>) {
    KumquatmilldCommand().main(args)
    exitProcess(0)
}
