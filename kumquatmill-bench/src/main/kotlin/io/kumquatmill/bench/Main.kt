package io.kumquatmill.bench

import com.github.ajalt.clikt.core.main
import io.kumquatmill.bench.command.bench

/** Runs the `bench` command line. */
fun main(args: Array<String>) = bench().main(args)
