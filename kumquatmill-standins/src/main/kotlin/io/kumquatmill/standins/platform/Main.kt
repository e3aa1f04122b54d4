package io.kumquatmill.standins.platform

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import io.kumquatmill.standins.http.announce

/** Runs the stand-in of the platform's key-value service and host list until the process is ended. */
class PlatformStandinCommand : CliktCommand(name = "platform-standin") {
    private val ip by option(help = "IP number to listen on").default("127.0.0.1")
    private val port by option(help = "TCP port to listen on; 0 takes a free one").int().default(0)
    private val portFile by option(help = "File to write the address to").path()
    private val hostListLagMs by option(help = "How late readers see the host list").long().default(0)

    override fun help(context: Context): String = "Runs a stand-in of the key-value service and the host list, for tests."

    override fun run() {
        val state = PlatformState(hostList = HostListStandin(hostListLagMs))
        val server = PlatformStandinServer(state, ip, port)
        announce(listOf(server.address), portFile)
    }
}

/** Entry point of the program `platform-standin`. */
fun main(args: Array<String>) = PlatformStandinCommand().main(args)
