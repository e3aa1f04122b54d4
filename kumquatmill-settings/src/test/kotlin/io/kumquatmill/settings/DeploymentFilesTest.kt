package io.kumquatmill.settings

import io.kumquatmill.common.id.UpstreamId
import kotlin.io.path.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class DeploymentFilesTest {
    private val conf = Path("..", "conf")

    @Test
    fun `all entry hosts of both deployments pass the check`() {
        val files = listOf("batalik", "atlas").flatMap { name -> (1..HOSTS).map { conf.resolve(name).resolve("h$it.ini") } }

        val faults = files.flatMap { file -> loadSettings(file).fold({ it.toLines() }, { emptyList() }) }

        assertEquals(emptyList(), faults)
    }

    @Test
    fun `deployments have the workers and slots of their services`() {
        assertEquals(mapOf("enquiries" to 28 * 7, "urgent-orders" to 12 * 3), slotsOf("batalik"))
        assertEquals(mapOf("catalogue" to 28 * 6, "deposits" to 12 * 3), slotsOf("atlas"))
    }

    private fun slotsOf(deployment: String): Map<String, Int> =
        settingsOf(conf.resolve(deployment).resolve("h1.ini"))
            .topology.workers
            .groupBy(keySelector = { it.upstream }, valueTransform = { it.slots })
            .map { (upstream: UpstreamId, slots) -> upstream.value to slots.sum() }
            .toMap()

    private companion object {
        const val HOSTS = 7
    }
}
