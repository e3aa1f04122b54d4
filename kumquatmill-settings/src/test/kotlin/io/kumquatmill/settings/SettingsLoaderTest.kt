package io.kumquatmill.settings

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SettingsLoaderTest {
    @Test
    fun `a file with only the required keys gets the defaults`() {
        val settings = loadValidSettings(settingsFile(VALID_SETTINGS))

        assertEquals(SettingsDefaults.MAX_BODY_BYTES, settings.limits.maxBodyBytes)
        assertEquals(IsolationPolicy.REFUSE, settings.standing.isolationPolicy)
        assertEquals(listOf(HostAddress("127.0.0.1", 2379), HostAddress("127.0.0.2", 2379)), settings.platform.storeAddresses)
        assertEquals(
            listOf(RegionId("west"), RegionId("east")),
            settings.topology.workers
                .map { it.region },
        )
    }

    @Test
    fun `an unknown key is reported with the known keys`() {
        val error = errorLinesAfterReplacing("id = h1", "id = h1\nidd = h2").single()

        assertTrue(error.startsWith("[host] idd: found 'h2', expected one of the keys id, region,"), error)
    }

    @Test
    fun `a duplicate key is reported with both values`() {
        assertEquals(
            listOf("[host] id: found 'h1 and h2', expected one value; keep one of the lines"),
            errorLinesAfterReplacing("id = h1", "id = h1\nid = h2"),
        )
    }

    @Test
    fun `a duplicate section is reported`() {
        assertEquals(
            listOf("[shift]: found 'shift 2 times', expected each section once; join the sections into one"),
            errorLinesAfterReplacing("[shift]", "[shift]\nrequests-per-s = 1\n[shift]"),
        )
    }

    @Test
    fun `a missing key is reported`() {
        assertEquals(
            listOf("[platform] host-list-address: found nothing, expected IP address:port; add the key"),
            errorLinesAfterReplacing("host-list-address = 127.0.0.1:2380\n", ""),
        )
    }

    @Test
    fun `a host name is not accepted as an address`() {
        val error = errorLinesAfterReplacing("127.0.0.1:8081", "entry.example:8081").single()

        assertEquals(
            "[host] caller-address: found 'entry.example:8081', expected IP address:port; write the IP address, not a host name",
            error,
        )
    }

    @Test
    fun `peers are read with their addresses and an invalid address is reported`() {
        val settings = loadValidSettings(settingsFile("$VALID_SETTINGS\n[peers]\nh2 = 127.0.0.1:9002\n"))
        assertEquals(mapOf(HostId("h2") to HostAddress("127.0.0.1", 9002)), settings.peers)

        val error = errorLinesAfterReplacing("[shift]", "[peers]\nh2 = somewhere\n[shift]").single()
        assertTrue(error.startsWith("[peers] h2: found 'somewhere', expected "), error)
    }

    @Test
    fun `a negative duration and a value out of range are reported`() {
        val duration = errorLinesAfterReplacing("[shift]", "[shift]\ninterval-ms = -5").single()
        val slots = errorLinesAfterReplacing("slots = 3", "slots = 0").single()

        assertEquals("[shift] interval-ms: found '-5', expected a whole number from 1 to 3600000; set a value in the range", duration)
        assertEquals("[upstream.orders] slots: found '0', expected a whole number from 1 to 100000; set a value in the range", slots)
    }

    @Test
    fun `references to unknown zones, upstreams and regions are reported`() {
        assertTrue(errorLinesAfterReplacing("worker.o2 = east-1", "worker.o2 = east-9").single().contains("a zone of [availability-zones]"))
        assertTrue(errorLinesAfterReplacing("upstream = orders", "upstream = order").single().contains("expected one of orders"))
        assertTrue(errorLinesAfterReplacing("[link.west.east]", "[link.west.north]").single().contains("two regions"))
        assertTrue(errorLinesAfterReplacing("region = west", "region = east").single().contains("a zone in region east"))
    }

    @Test
    fun `two workers with the same address are reported`() {
        val error = errorLinesAfterReplacing("127.0.0.1:7002", "127.0.0.1:7001").single()

        assertTrue(error.contains("127.0.0.1:7001 for orders o1 and orders o2"), error)
    }

    @Test
    fun `all errors are reported together, each on one line`() {
        val errors = errorLinesAfterReplacing("id = h1\nregion = west", "region = north\nspare = 1\nregion = west")

        assertEquals(listOf("region", "id", "availability-zone", "spare"), errors.map { it.substringAfter("] ").substringBefore(":") })
        assertTrue(errors.none { '\n' in it })
    }

    @Test
    fun `an included file is validated together with the file that includes it`() {
        val (hostPart, sharedPart) = VALID_SETTINGS.split("[platform]")
        val file = settingsFile("[include]\nfile = shared.ini\n$hostPart")
        file.resolveSibling("shared.ini").writeText("[platform]\nextra = 1\n$sharedPart")

        val error = loadSettings(file).fold({ it.single() }, { error("expected an error") })

        assertEquals(file.resolveSibling("shared.ini"), error.file)
        assertEquals("extra", error.key)
    }

    @Test
    fun `a missing file and a malformed line are reported`() {
        val missing = loadSettings(settingsFile("").resolveSibling("none.ini")).fold({ it.single().message }, { "" })
        val malformed = loadSettings(settingsFile("[host\nid = h1")).fold({ it.first().message }, { "" })

        assertTrue(missing.endsWith("expected a readable file; check the path and its permissions"), missing)
        assertTrue(malformed.contains("expected lines of the form"), malformed)
    }
}
