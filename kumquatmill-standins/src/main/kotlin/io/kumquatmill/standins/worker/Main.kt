package io.kumquatmill.standins.worker

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import io.kumquatmill.standins.http.announce

/** Runs stand-ins of workers, on a port each, until the process is ended. */
class WorkerStandinCommand : CliktCommand(name = "worker-standin") {
    private val ip by option(help = "IP number to listen on").default("127.0.0.1")
    private val port by option(help = "TCP port of the first worker; 0 takes free ones").int().default(0)
    private val portFile by option(help = "File to write the addresses to, one a line").path()
    private val workers by option(help = "Number of workers in this process").int().default(1)
    private val namePrefix by option(help = "Workers are called PREFIX-1, PREFIX-2, ...").default("worker")
    private val slots by option(help = "Requests that a worker serves at a time").int().default(7)
    private val serviceMs by option(help = "Mean service time").double().default(20.0)
    private val groups by option(
        "--group",
        metavar = "NAME:COUNT:SLOTS:SERVICE_MS",
        help = "Workers of one upstream, instead of --workers, --name-prefix, --slots and --service-ms; repeatable",
    ).convert { WorkerGroup.parse(it) ?: fail("give NAME:COUNT:SLOTS:SERVICE_MS") }.multiple()
    private val spread by option(help = "Spread of the service time, as a part of it").double().default(0.5)
    private val seed by option(help = "Seed of the service times").int().default(1)
    private val coldStartMs by option(help = "How long a worker is slow after its start").long().default(0)
    private val coldFactor by option(help = "How many times as slow it is at first").double().default(4.0)
    private val answerBytes by option(help = "Bytes of padding in each answer").int().default(0)

    override fun help(context: Context): String = "Runs stand-ins of upstream workers, for tests."

    override fun run() {
        val runLog = RunLog()
        val headerLog = HeaderLog()
        val servers =
            allSettings().mapIndexed { index, settings ->
                WorkerStandinServer(settings, runLog, headerLog, ip, portOf(index))
            }
        announce(servers.map { it.address }, portFile)
    }

    private fun allSettings(): List<WorkerSettings> {
        val allGroups = groups.ifEmpty { listOf(WorkerGroup(namePrefix, workers, slots, serviceMs)) }
        return allGroups
            .flatMap { group -> (1..group.count).map { number -> group to number } }
            .mapIndexed { index, (group, number) -> settingsOf(group, number, seed + index) }
    }

    private fun settingsOf(
        group: WorkerGroup,
        number: Int,
        workerSeed: Int,
    ): WorkerSettings =
        workerSettings {
            name = "${group.name}-$number"
            slots = group.slots
            serviceMs = group.serviceMs
            seed = workerSeed
            spread = this@WorkerStandinCommand.spread
            coldStartMs = this@WorkerStandinCommand.coldStartMs
            coldFactor = this@WorkerStandinCommand.coldFactor
            answerBytes = this@WorkerStandinCommand.answerBytes
        }

    private fun portOf(index: Int): Int = if (port == 0) 0 else port + index
}

/** Entry point of the program `worker-standin`. */
fun main(args: Array<String>) = WorkerStandinCommand().main(args)
