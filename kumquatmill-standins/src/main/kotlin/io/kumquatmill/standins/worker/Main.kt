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
import io.kumquatmill.standins.http.announceAddresses

/** Runs worker stand-ins, each on its own port, until the process is terminated. */
class WorkerStandinCommand : CliktCommand(name = "worker-standin") {
    private val ip by option(help = "IP address to listen on").default("127.0.0.1")
    private val port by option(
        help = "TCP port of the first worker, the others use the following ports; 0 selects free ports",
    ).int().default(0)
    private val portFile by option(help = "File to which the listen addresses are written, one per line").path()
    private val workers by option(help = "Number of workers in this process").int().default(1)
    private val namePrefix by option(help = "Prefix of the worker names: PREFIX-1, PREFIX-2, ...").default("worker")
    private val slots by option(help = "Maximum number of concurrent requests per worker").int().default(7)
    private val serviceMs by option(help = "Mean service time in ms").double().default(20.0)
    private val groups by option(
        "--group",
        metavar = "NAME:COUNT:SLOTS:SERVICE_MS",
        help = "Workers of one upstream; replaces --workers, --name-prefix, --slots and --service-ms; may be repeated",
    ).convert { WorkerGroup.parse(it) ?: fail("expected NAME:COUNT:SLOTS:SERVICE_MS") }.multiple()
    private val spread by option(help = "Maximum deviation from the mean service time, as a fraction of it").double().default(0.5)
    private val seed by option(help = "Seed of the random service times; incremented by one for each further worker").int().default(1)
    private val coldStartMs by option(help = "Duration of the warm-up after the start of a worker, in ms").long().default(0)
    private val coldFactor by option(help = "Factor by which service times are longer at the start of the warm-up").double().default(4.0)
    private val answerBytes by option(help = "Number of padding bytes in each response").int().default(0)

    override fun help(context: Context): String = "Runs stand-ins for upstream workers, for tests."

    override fun run() {
        val runLog = RunLog()
        val headerLog = HeaderLog()
        val servers =
            allSettings().mapIndexed { index, settings ->
                WorkerStandinServer(settings, runLog, headerLog, ip, portOf(index))
            }
        announceAddresses(servers.map { it.address }, portFile)
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
            responsePaddingBytes = this@WorkerStandinCommand.answerBytes
        }

    private fun portOf(index: Int): Int = if (port == 0) 0 else port + index
}

/** Entry point of the program `worker-standin`. */
fun main(args: Array<String>) = WorkerStandinCommand().main(args)
