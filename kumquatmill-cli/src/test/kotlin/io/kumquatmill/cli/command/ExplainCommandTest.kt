package io.kumquatmill.cli.command

import io.kumquatmill.cli.CliFixture
import io.kumquatmill.cli.FakeHost
import io.kumquatmill.cli.error.ExitCode
import org.http4k.core.Response
import org.http4k.core.Status
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ExplainCommandTest {
    private val fixture = CliFixture()
    private val host = FakeHost("h1")

    @AfterTest
    fun close() {
        host.close()
        fixture.close()
    }

    private fun explain(vararg extraArgs: String) =
        fixture.runWithoutStore("explain", "--http-host", "shop.example", "--path", "/a%20b?x=1&y=+", "--affinity", "a/b&c", *extraArgs)

    /** Guards against a path that is decoded twice, or cut off at a character of its own, so that another request is explained. */
    @Test
    fun `the parameters arrive as given, and the explanation is printed as a table or as JSON`() {
        host.lookupResponse = Response(Status.OK).body(EXPLANATION_JSON)
        val table = explain("--host", host.address.toString(), "--workspace", "alpha")
        assertEquals(0, table.statusCode, table.output)
        assertContains(table.stdout, Regex("outcome +sent\nworker +e1"))
        assertContains(table.stdout, Regex("e2 +east-b +no +draining +0 +120 +-"))
        val uri = host.lookupRequests.single().uri
        assertEquals("/peer/explain", uri.path)
        assertEquals("host=shop.example&path=%2Fa%2520b%3Fx%3D1%26y%3D%2B&affinity=a%2Fb%26c&workspace=alpha", uri.query)
        assertContains(explain("--host", host.address.toString(), "--output", "json").stdout, "\"reason\": \"draining\"")
    }

    /** Guards against exit codes other than those of the other commands. */
    @Test
    fun `no host, an earlier build and an unreachable host have the exit codes of other commands`() {
        assertEquals(ExitCode.USAGE.code, explain().statusCode)
        host.lookupResponse = Response(Status.NOT_FOUND).body("{}")
        assertEquals(ExitCode.REFUSED.code, explain("--host", host.address.toString()).statusCode)
        host.close()
        assertEquals(ExitCode.UNREACHABLE.code, explain("--host", host.address.toString()).statusCode)
    }

    private companion object {
        const val EXPLANATION_JSON =
            """{"host":"h1","route":{"name":"lookup","service":"catalogue","kind":"idempotent","priority":0,"targetLatencyMs":300},
            "candidates":[{"worker":"e1","zone":"east-a","isUsable":true,"waitMs":0,"serviceMs":120,"loadReportAgeMs":40},
            {"worker":"e2","zone":"east-b","isUsable":false,"reason":"draining","waitMs":0,"serviceMs":120}],
            "outcome":{"action":"sent","worker":"e1","waitMs":0}}"""
    }
}
