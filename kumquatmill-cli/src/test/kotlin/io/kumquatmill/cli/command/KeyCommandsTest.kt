package io.kumquatmill.cli.command

import io.kumquatmill.cli.CliFixture
import io.kumquatmill.cli.TEST_KEY
import io.kumquatmill.cli.error.ExitCode
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.configuration.model.KeyHash
import java.io.File
import java.nio.file.Files
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class KeyCommandsTest {
    private val fixture = CliFixture()
    private val hash = KeyHash.of(TEST_KEY).hex

    init {
        fixture.run("plan", "set", "small", "--rate-per-s", "5", "--burst", "10", "--route", "status")
        fixture.run("customer", "set", "clinic", "--plan", "small")
    }

    @AfterTest
    fun close() = fixture.close()

    private fun storedConfiguration(): String = fixture.storedValue(ConfigurationDocument.KEY).orEmpty()

    @Test
    fun `only the hash of a granted key is stored`() {
        assertEquals(0, fixture.run("key", "grant", "clinic").statusCode)
        assertContains(storedConfiguration(), hash)
        assertFalse(TEST_KEY in storedConfiguration())
    }

    @Test
    fun `a key can be withdrawn by its text or by its hash`() {
        fixture.run("key", "grant", "clinic")
        assertEquals(0, fixture.run("key", "withdraw", "clinic").statusCode)
        assertFalse(hash in storedConfiguration())
        fixture.run("key", "grant", "clinic")
        assertEquals(0, fixture.run("key", "withdraw", "clinic", "--key-hash", hash).statusCode)
        assertFalse(hash in storedConfiguration())
    }

    @Test
    fun `a key is never printed`() {
        val results =
            listOf(
                fixture.run("key", "grant", "clinic"),
                fixture.run("key", "grant", "nobody"),
                fixture.run("key", "withdraw", "nobody"),
                fixture.run("key", "withdraw", "clinic", "--key-hash", TEST_KEY),
                fixture.run("key", "grant", "clinic", TEST_KEY),
                fixture.run("key", TEST_KEY),
                fixture.run("where", "--host", "127.0.0.1:1"),
                fixture.run("customer", "list"),
            )
        results.forEach { assertFalse(TEST_KEY in it.output, "printed: ${it.output}") }
        assertEquals(listOf(0, 3, 3, 1, 1, 1, 4, 0), results.map { it.statusCode })
    }

    @Test
    fun `a key file must contain exactly one valid key`() {
        val file = Files.createTempFile("key", null)
        val codes =
            listOf("$TEST_KEY\n", "too-short", "$TEST_KEY\n$TEST_KEY\n").map { text ->
                Files.writeString(file, text)
                fixture.run("key", "grant", "clinic", "--key-file", file.toString()).statusCode
            }
        Files.delete(file)
        assertEquals(listOf(0, ExitCode.USAGE.code, ExitCode.USAGE.code), codes)
    }

    @Test
    fun `a key from the standard input does not appear in the arguments, the output or the log of the process`() {
        val process = startProcess("key", "grant", "clinic", "--store", fixture.platform.address.toString())
        val arguments = awaitArguments(process)
        process.outputWriter().use { it.write("$TEST_KEY\n") }
        val output = process.inputReader().readText()
        assertEquals(true, process.waitFor(20, TimeUnit.SECONDS))
        assertEquals(0, process.exitValue(), output)
        assertFalse(arguments.any { TEST_KEY in it }, "arguments: $arguments")
        assertFalse(TEST_KEY in output, "output: $output")
    }

    private fun startProcess(vararg args: String): Process {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val builder = ProcessBuilder(java, "io.kumquatmill.cli.MainKt", *args).redirectErrorStream(true)
        builder.environment()["CLASSPATH"] = System.getProperty("java.class.path")
        return builder.start()
    }

    /** Returns the arguments of [process], which blocks on its standard input, once the operating system shows them. */
    private fun awaitArguments(process: Process): List<String> {
        while (true) {
            val arguments = process.info().arguments().orElse(emptyArray())
            if ("grant" in arguments) return arguments.toList()
            Thread.onSpinWait()
        }
    }
}
