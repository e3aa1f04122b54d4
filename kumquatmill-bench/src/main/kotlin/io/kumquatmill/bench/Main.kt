package io.kumquatmill.bench

import com.github.ajalt.clikt.core.main
import io.kumquatmill.bench.command.bench

/** Entry point of the program `bench`. */
fun main(args: Array<String>) = bench().main(args)
