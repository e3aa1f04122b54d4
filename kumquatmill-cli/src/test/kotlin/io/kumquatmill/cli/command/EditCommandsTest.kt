package io.kumquatmill.cli.command

import io.kumquatmill.cli.CliFixture
import io.kumquatmill.cli.error.ExitCode
import io.kumquatmill.standins.platform.StoreFaults
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class EditCommandsTest {
    private val fixture = CliFixture()

    @AfterTest
    fun close() = fixture.close()

    private fun setPlan(
        plan: String,
        vararg extraArgs: String,
    ) = fixture.run("plan", "set", plan, "--rate-per-s", "5", "--burst", "10", "--route", "status", *extraArgs)

    private fun plans(): List<String> =
        fixture
            .run("plan", "list")
            .stdout
            .lines()
            .drop(1)
            .filter { it.isNotBlank() }
            .map { it.replace(Regex(" +"), " ") }

    @Test
    fun `an edit prints its revision and changes only the given fields`() {
        assertContains(setPlan("small").stdout, "1         edit-1")
        assertEquals(0, fixture.run("plan", "set", "small", "--burst", "20").statusCode)
        assertEquals(listOf("small 5.0 20 1 status"), plans())
    }

    @Test
    fun `a new plan requires rate, burst and route`() {
        assertEquals(ExitCode.USAGE.code, fixture.run("plan", "set", "small", "--burst", "20").statusCode)
        assertEquals(emptyList(), plans())
    }

    @Test
    fun `concurrent edits of different entries both take effect`() {
        setPlan("small")
        fixture.beforeNextWrite = { setPlan("large") }
        assertEquals(0, fixture.run("plan", "set", "small", "--burst", "20").statusCode)
        assertEquals(listOf("large 5.0 10 1 status", "small 5.0 20 1 status"), plans())
    }

    @Test
    fun `the second of two concurrent edits of the same entry fails with a conflict`() {
        setPlan("small")
        fixture.beforeNextWrite = { fixture.run("plan", "set", "small", "--burst", "30") }
        val second = fixture.run("plan", "set", "small", "--burst", "20")
        assertEquals(ExitCode.CONFLICT.code, second.statusCode)
        assertContains(second.stderr, "another operator changed the same entry")
        assertEquals(listOf("small 5.0 30 1 status"), plans())
    }

    @Test
    fun `an edit whose response is lost is read back and written only once`() {
        fixture.loseNextResponse()
        val result = setPlan("small")
        assertEquals(0 to 1L, result.statusCode to fixture.platform.state.withStore { it.revision })
        assertContains(result.stdout, "1         edit-1")
    }

    @Test
    fun `an edit while the store is down leaves the configuration unchanged`() {
        fixture.setFaults(StoreFaults(isDown = true))
        assertEquals(ExitCode.UNREACHABLE.code, setPlan("small").statusCode)
        fixture.setFaults(StoreFaults())
        assertEquals(emptyList(), plans())
    }

    @Test
    fun `an edit with an unknown outcome takes effect only once when it is retried with its ID`() {
        fixture.loseNextResponse()
        fixture.afterNextWrite = { fixture.setFaults(StoreFaults(isDown = true)) }
        val unknown = setPlan("small")
        assertEquals(ExitCode.OUTCOME_UNKNOWN.code, unknown.statusCode, unknown.output)
        assertContains(unknown.stderr, "edit-1")
        fixture.setFaults(StoreFaults())
        assertEquals(0, setPlan("small", "--edit-id", "edit-1").statusCode)
        assertEquals(1, fixture.platform.state.withStore { it.revision })
    }

    @Test
    fun `a customer that moves to another plan keeps its keys`() {
        listOf("small", "large").forEach { setPlan(it) }
        fixture.run("customer", "set", "clinic", "--plan", "small")
        fixture.run("key", "grant", "clinic")
        val before = fixture.run("customer", "list", "--output", "json").stdout
        fixture.run("customer", "set", "clinic", "--plan", "large")
        val after = fixture.run("customer", "list", "--output", "json").stdout
        assertEquals(before.replace("small", "large"), after)
    }

    @Test
    fun `a plan can't be removed while it has customers`() {
        setPlan("small")
        fixture.run("customer", "set", "clinic", "--plan", "small")
        assertEquals(ExitCode.REJECTED.code, fixture.run("plan", "remove", "small").statusCode)
        fixture.run("customer", "remove", "clinic")
        assertEquals(0, fixture.run("plan", "remove", "small").statusCode)
    }
}
