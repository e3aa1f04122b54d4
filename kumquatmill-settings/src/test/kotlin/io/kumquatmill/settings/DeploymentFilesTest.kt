package io.kumquatmill.settings

import io.kumquatmill.common.id.UpstreamId
import kotlin.io.path.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class DeploymentFilesTest {
    private val confDirectory = Path("..", "conf")

    @Test
    fun `the settings of all entry hosts of both deployments are valid`() {
        val files = listOf("batalik", "atlas").flatMap { name -> (1..HOST_COUNT).map { confDirectory.resolve(name).resolve("h$it.ini") } }

        val errors = files.flatMap { file -> loadSettings(file).fold({ it.toLines() }, { emptyList() }) }

        assertEquals(emptyList(), errors)
    }

    @Test
    fun `deployments have the expected slots per upstream`() {
        assertEquals(mapOf("enquiries" to 28 * 7, "urgent-orders" to 12 * 3), slotsByUpstream("batalik"))
        assertEquals(mapOf("catalogue" to 28 * 6, "deposits" to 12 * 3), slotsByUpstream("atlas"))
    }

    private fun slotsByUpstream(deployment: String): Map<String, Int> =
        loadValidSettings(confDirectory.resolve(deployment).resolve("h1.ini"))
            .topology.workers
            .groupBy(keySelector = { it.upstream }, valueTransform = { it.slots })
            .map { (upstream: UpstreamId, slots) -> upstream.value to slots.sum() }
            .toMap()

    private companion object {
        const val HOST_COUNT = 7
    }
}
