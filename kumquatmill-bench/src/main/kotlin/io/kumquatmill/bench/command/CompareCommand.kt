package io.kumquatmill.bench.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.path
import io.kumquatmill.bench.experiment.readExperiments
import io.kumquatmill.bench.measure.compareTable
import io.kumquatmill.bench.measure.runExperiment
import io.kumquatmill.bench.plot.plotLatency
import io.kumquatmill.bench.plot.plotWrongfulRefusals
import kotlinx.serialization.json.Json
import java.nio.file.Path

private val prettyJson = Json { prettyPrint = true }

/** Runs experiments under several policies and compares the results. */
internal class CompareCommand : CliktCommand(name = "compare") {
    private val directory by option(
        "--experiments",
        help = "Directory of the experiment files",
    ).path().default(Path.of("bench/experiments"))
    private val only by option("--only", help = "Name of an experiment; repeatable; all by default").multiple()
    private val output by option("--output", help = "Output format")
        .enum<OutputFormat> {
            it.name.lowercase()
        }.default(OutputFormat.TABLE)
    private val plots by option("--plots", help = "Directory of the plots").path().default(Path.of("target/bench"))

    override fun help(context: Context): String =
        "Compares the design, in virtual time, with a simple policy and with variants that each have one mechanism disabled."

    override fun run() {
        val experiments = readExperiments(directory).filter { only.isEmpty() || it.name in only }
        val runs = experiments.flatMap { runExperiment(it) }
        plotWrongfulRefusals(runs, plots.resolve("refused-inside-rate.svg"))
        plotLatency(runs, plots.resolve("latency-p99.svg"))
        echo(if (output == OutputFormat.JSON) prettyJson.encodeToString(runs) else compareTable(runs))
    }
}
