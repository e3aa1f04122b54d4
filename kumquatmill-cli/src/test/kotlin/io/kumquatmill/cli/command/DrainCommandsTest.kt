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

    private fun storeRevision(): Long = fixture.platform.state.withStore { it.revision }

    @Test
    fun `repeated drain and undrain commands each write once`() {
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
        assertEquals(2, storeRevision())
    }

    @Test
    fun `a lost response is resolved by reading the entry back`() {
        fixture.loseNextResponse()
        assertEquals(0 to 1L, fixture.run("drain", "h1").statusCode to storeRevision())
        fixture.loseNextResponse()
        assertEquals(0 to 2L, fixture.run("undrain", "h1").statusCode to storeRevision())
    }

    @Test
    fun `the outcome is unknown when the store goes down after a lost response`() {
        fixture.loseNextResponse()
        fixture.afterNextWrite = { fixture.setFaults(StoreFaults(isDown = true)) }
        assertEquals(ExitCode.OUTCOME_UNKNOWN.code, fixture.run("drain", "h1").statusCode)
        fixture.setFaults(StoreFaults())
        assertEquals(0 to 1L, fixture.run("drain", "h1").statusCode to storeRevision())
    }

    @Test
    fun `two operators who drain the same host concurrently both succeed`() {
        fixture.beforeNextWrite = { fixture.run("drain", "h1") }
        assertEquals(0 to 1L, fixture.run("drain", "h1").statusCode to storeRevision())
    }

    @Test
    fun `a name with a slash is refused`() {
        assertEquals(ExitCode.USAGE.code, fixture.run("drain", "a/b").statusCode)
    }
}
