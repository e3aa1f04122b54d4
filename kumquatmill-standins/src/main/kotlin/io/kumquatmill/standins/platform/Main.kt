package io.kumquatmill.standins.platform

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import io.kumquatmill.standins.http.announceAddresses

/** Runs a stand-in for the platform's key-value store and host list until the process is terminated. */
class PlatformStandinCommand : CliktCommand(name = "platform-standin") {
    private val ip by option(help = "IP address to listen on").default("127.0.0.1")
    private val port by option(help = "TCP port to listen on; 0 selects a free port").int().default(0)
    private val portFile by option(help = "File to which the listen address is written").path()
    private val hostListLagMs by option(help = "Delay in ms until a change to the host list is visible to readers").long().default(0)

    override fun help(context: Context): String = "Runs a stand-in for the key-value store and the host list, for tests."

    override fun run() {
        val state = PlatformState(hostList = HostListStandin(hostListLagMs))
        val server = PlatformStandinServer(state, ip, port)
        announceAddresses(listOf(server.address), portFile)
    }
}

/** Entry point of the program `platform-standin`. */
fun main(args: Array<String>) = PlatformStandinCommand().main(args)
