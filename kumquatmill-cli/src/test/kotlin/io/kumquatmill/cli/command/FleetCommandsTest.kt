package io.kumquatmill.cli.command

import io.kumquatmill.cli.CliFixture
import io.kumquatmill.cli.FakeHost
import io.kumquatmill.cli.TEST_KEY
import io.kumquatmill.cli.error.ExitCode
import io.kumquatmill.standins.platform.StoreFaults
import org.http4k.core.Response
import org.http4k.core.Status
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class FleetCommandsTest {
    private val fixture = CliFixture()
    private val hosts = listOf(FakeHost("h1", revision = 8), FakeHost("h2", revision = 7))

    init {
        hosts.forEachIndexed { index, host -> fixture.registerHost("h${index + 1}", host.address) }
    }

    @AfterTest
    fun close() {
        hosts.forEach { it.close() }
        fixture.close()
    }

    private fun waitInForce(
        revision: Int,
        vararg extraArgs: String,
    ) = fixture.run("wait-in-force", revision.toString(), "--timeout-ms", "1000", *extraArgs)

    @Test
    fun `status lists every host, including one that is unreachable`() {
        hosts[1].close()
        val lines = fixture.run("status").stdout.lines()
        assertContains(lines[1], Regex("h1 +${hosts[0].address} +live +8 +5 +yes +2 +1"))
        assertContains(lines[2], Regex("h2 +${hosts[1].address} +unreachable"))
    }

    @Test
    fun `status prints shares and JSON`() {
        assertContains(fixture.run("status", "--shares").stdout, Regex("workspace/clinic +h1 +7 +10"))
        assertContains(fixture.run("status", "--output", "json").stdout, "\"configurationRevision\": 8")
    }

    @Test
    fun `waiting ends when the revision is in force on the last host`() {
        fixture.onSleep = { hosts[1].revision = 8 }
        val result = waitInForce(8)
        assertEquals(0, result.statusCode, result.output)
        assertContains(result.stdout, Regex("h2 +8 +in-force"))
    }

    @Test
    fun `waiting reports the lagging hosts when it times out`() {
        val result = waitInForce(8)
        assertEquals(ExitCode.LAGGING.code, result.statusCode)
        assertContains(result.stderr, "revision 8 is not in force on h2:")
        assertContains(result.stdout, Regex("h2 +7 +lagging"))
    }

    @Test
    fun `waiting includes a host that joins while it polls`() {
        val joining = FakeHost("h3", revision = 1)
        hosts[1].revision = 7
        fixture.onSleep = {
            fixture.registerHost("h3", joining.address)
            hosts[1].revision = 8
        }
        val result = waitInForce(8)
        joining.close()
        assertContains(result.stderr, "revision 8 is not in force on h3:")
    }

    @Test
    fun `an unreachable host counts as lagging`() {
        hosts[0].close()
        assertContains(waitInForce(7).stderr, "revision 7 is not in force on h1:")
    }

    @Test
    fun `waiting continues with the last known hosts when the store goes down`() {
        fixture.onSleep = {
            fixture.setFaults(StoreFaults(isDown = true))
            hosts[1].revision = 8
        }
        assertEquals(0, waitInForce(8).statusCode)
    }

    @Test
    fun `hosts given by address are queried without the store`() {
        val result = fixture.runWithoutStore("status", "--host", hosts[0].address.toString())
        assertEquals(0, result.statusCode, result.output)
        assertContains(result.stdout, "h1")
        assertFalse("h2" in result.stdout)
    }

    @Test
    fun `a lookup sends the key only in a header`() {
        val result = fixture.run("where")
        assertContains(result.stdout, Regex("h1 +vychod +10.0.0.1:80 +use +5000"))
        val request = hosts[0].lookupRequests.single()
        assertEquals("Bearer $TEST_KEY", request.header("Authorization"))
        assertFalse(TEST_KEY in request.uri.toString())
    }

    @Test
    fun `a lookup queries the next host when the first is unreachable`() {
        hosts[0].close()
        assertEquals(0, fixture.run("where").statusCode)
        assertEquals(1, hosts[1].lookupRequests.size)
    }

    @Test
    fun `a refused lookup reports the reason`() {
        hosts[0].lookupResponse = Response(Status.UNAUTHORIZED).header("kumquatmill-reason", "key-unknown")
        val result = fixture.run("where")
        assertEquals(ExitCode.REFUSED.code, result.statusCode)
        assertContains(result.stderr, "key-unknown")
    }

    @Test
    fun `top prints the requested number of updates`() {
        val headings =
            fixture
                .run("top", "--count", "3")
                .stdout
                .lines()
                .count { it.startsWith("HOST") }
        assertEquals(3, headings)
    }
}
