package io.kumquatmill.cli.command

import io.kumquatmill.cli.CliFixture
import io.kumquatmill.cli.error.ExitCode
import io.kumquatmill.standins.platform.StoreFaults
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class DrainCommandsTest {
    private val fixture = CliFixture()

    @AfterTest
    fun close() = fixture.close()

    private fun revision(): Long = fixture.platform.state.withStore { it.revision }

    @Test
    fun `a drain is requested once and taken back once`() {
        repeat(2) { assertEquals(0, fixture.run("drain", "h1").statusCode) }
        assertEquals("""{"name":"h1"}""", fixture.storedValue("drain/h1"))
        assertEquals(
            listOf("NAME", "h1"),
            fixture
                .run("drains")
                .stdout
                .trim()
                .lines(),
        )
        repeat(2) { assertEquals(0, fixture.run("undrain", "h1").statusCode) }
        assertEquals(null, fixture.storedValue("drain/h1"))
        assertEquals(2, revision())
    }

    @Test
    fun `a lost answer is resolved by reading back`() {
        fixture.loseNextAnswer()
        assertEquals(0 to 1L, fixture.run("drain", "h1").statusCode to revision())
        fixture.loseNextAnswer()
        assertEquals(0 to 2L, fixture.run("undrain", "h1").statusCode to revision())
    }

    @Test
    fun `the outcome is unknown when the store goes down after a lost answer`() {
        fixture.loseNextAnswer()
        fixture.afterNextWrite = { fixture.setFaults(StoreFaults(isDown = true)) }
        assertEquals(ExitCode.UNKNOWN.code, fixture.run("drain", "h1").statusCode)
        fixture.setFaults(StoreFaults())
        assertEquals(0 to 1L, fixture.run("drain", "h1").statusCode to revision())
    }

    @Test
    fun `two operators that race for the same drain both succeed`() {
        fixture.beforeNextWrite = { fixture.run("drain", "h1") }
        assertEquals(0 to 1L, fixture.run("drain", "h1").statusCode to revision())
    }

    @Test
    fun `a name with a slash is refused`() {
        assertEquals(ExitCode.USAGE.code, fixture.run("drain", "a/b").statusCode)
    }
}
