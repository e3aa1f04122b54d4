package io.kumquatmill.bench.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import io.kumquatmill.bench.overload.OverloadPolicy
import io.kumquatmill.bench.overload.OverloadReplay
import io.kumquatmill.bench.overload.Patterns
import io.kumquatmill.bench.overload.costTable
import io.kumquatmill.bench.overload.replayTable
import io.kumquatmill.bench.plot.plotEarnedBenefit
import kotlinx.serialization.json.Json
import java.nio.file.Path

private val prettyJson = Json { prettyPrint = true }

/** Replays load patterns against the decisions of a fleet, with all mechanisms and with one of them disabled. */
internal class OverloadCommand : CliktCommand(name = "overload") {
    private val only by option("--pattern", help = "Load pattern; repeatable; all by default")
        .choice(Patterns.all.associateBy { it.name })
        .multiple()
    private val policies by option("--policy", help = "Policy; repeatable; all by default")
        .choice(OverloadPolicy.all.associateBy { it.name })
        .multiple()
    private val seeds by option("--seed", help = "Seed; repeatable").int().multiple(listOf(1, 2, 3))
    private val output by option("--output", help = "Output format")
        .enum<OutputFormat> {
            it.name.lowercase()
        }.default(OutputFormat.TABLE)
    private val plots by option("--plots", help = "Directory of the plot").path().default(Path.of("target/bench"))

    override fun help(context: Context): String =
        "Replays overload in virtual time, with the design and with variants that each have one mechanism disabled."

    override fun run() {
        val results =
            only.ifEmpty { Patterns.all }.flatMap { pattern ->
                policies.ifEmpty { OverloadPolicy.all }.flatMap { policy ->
                    seeds.map { OverloadReplay(pattern, policy, it).run() }
                }
            }
        plotEarnedBenefit(results, plots.resolve("overload-earned.svg"))
        echo(if (output == OutputFormat.JSON) prettyJson.encodeToString(results) else replayTable(results) + "\n" + costTable(results))
    }
}
