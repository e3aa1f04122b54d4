package io.kumquatmill.bench.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import io.kumquatmill.bench.capacity.Sizes
import io.kumquatmill.bench.check.Bound
import io.kumquatmill.bench.check.costBounds
import io.kumquatmill.bench.check.experimentBounds
import io.kumquatmill.bench.experiment.readExperiments
import java.nio.file.Path

/** Compares measurements with the bounds that follow from the targets; exits with 1 if any bound is violated. */
internal class CheckCommand : CliktCommand(name = "check") {
    private val directory by option(
        "--experiments",
        help = "Directory of the experiment files",
    ).path().default(Path.of("bench/experiments"))
    private val isVirtualOnly by option("--virtual-only", help = "Check only the bounds that do not depend on the machine").flag()
    private val fleetSizes by option(
        "--hosts",
        help = "Size of a fleet to measure; repeatable",
    ).int().multiple(listOf(Sizes.today.hosts))

    override fun help(context: Context): String =
        "Checks the design against its targets, prints each bound and exits with 1 if any bound is violated."

    override fun run() {
        val bounds = experimentBounds(readExperiments(directory)) + if (isVirtualOnly) emptyList() else costBounds(fleetSizes)
        bounds.forEach { echo(it.toString()) }
        val violated = bounds.filterNot(Bound::holds)
        echo("${bounds.size - violated.size} of ${bounds.size} bounds hold")
        if (violated.isNotEmpty()) throw ProgramResult(1)
    }
}
