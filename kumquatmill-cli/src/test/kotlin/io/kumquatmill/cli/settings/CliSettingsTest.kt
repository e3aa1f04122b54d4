package io.kumquatmill.cli.settings

import io.kumquatmill.cli.output.OutputFormat
import io.kumquatmill.common.fleet.HostAddress
import java.nio.file.Files
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class CliSettingsTest {
    private val file = Files.createTempFile("kumquatctl", ".ini")

    @AfterTest
    fun delete() = Files.delete(file)

    private fun read(vararg lines: String) = readCliSettings(Files.write(file, listOf("[kumquatctl]") + lines))

    private fun errorMessage(vararg lines: String): String =
        read(*lines)
            .leftOrNull()
            ?.message
            .orEmpty()

    @Test
    fun `all keys are read`() {
        val settings = read("store = 10.0.0.1:2400", "output = json", "call-timeout-ms = 300").getOrNull()
        assertEquals(CliSettings(HostAddress("10.0.0.1", 2400), OutputFormat.JSON, 300), settings)
    }

    @Test
    fun `unknown and repeated keys and sections are errors`() {
        assertContains(errorMessage("stroe = 10.0.0.1:2400"), "unknown keys [stroe]")
        assertContains(errorMessage("output = json", "output = table"), "repeated keys [output]")
        assertContains(errorMessage("[other]", "a = b"), "unknown sections [other]")
    }

    @Test
    fun `invalid values are errors`() {
        assertContains(errorMessage("store = localhost:2400"), "give IP:PORT")
        assertContains(errorMessage("output = xml"), "give table or json")
        assertContains(errorMessage("call-timeout-ms = 0"), "give milliseconds")
    }
}
