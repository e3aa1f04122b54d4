package io.kumquatmill.common.net

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class ReservedPortsTest {
    /** Guards against a server that finds its port in use because another process of the build has chosen the same one. */
    @Test
    fun `processes that run at the same time get different ports`() {
        val own = List(PORTS_PER_PROCESS) { ReservedPorts.next() }
        val processes = List(2) { startPrinter() }
        try {
            val others = processes.flatMap { process -> List(PORTS_PER_PROCESS) { process.inputReader().readLine().toInt() } }
            val later = List(PORTS_PER_PROCESS) { ReservedPorts.next() }
            assertEquals(emptyMap(), (own + others + later).groupingBy { it }.eachCount().filterValues { it > 1 }, "ports returned again")
        } finally {
            processes.forEach { it.destroyForcibly().waitFor() }
        }
    }

    private fun startPrinter(): Process {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val builder = ProcessBuilder(java, "-Xmx64m", "-XX:+UseSerialGC", PortPrinter::class.java.name)
        builder.environment()["CLASSPATH"] = System.getProperty("java.class.path")
        return builder.redirectError(ProcessBuilder.Redirect.INHERIT).start()
    }

    private companion object {
        const val PORTS_PER_PROCESS = 700
    }
}

/** Prints reserved ports, one a line, until its output is closed, so that its reservations last. */
object PortPrinter {
    @JvmStatic
    fun main(args: Array<String>) {
        repeat(MAX_PORTS) { println(ReservedPorts.next()) }
        System.`in`.read()
    }

    private const val MAX_PORTS = 700
}
