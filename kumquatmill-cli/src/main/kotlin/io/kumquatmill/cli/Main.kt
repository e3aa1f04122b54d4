package io.kumquatmill.cli

import com.github.ajalt.clikt.core.main

/** Entry point of `kumquatctl`. */
fun main(args: Array<String>) = kumquatctl().main(args)
