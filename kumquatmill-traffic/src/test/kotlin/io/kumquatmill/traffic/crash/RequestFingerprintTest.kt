package io.kumquatmill.traffic.crash

import io.kumquatmill.common.id.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals

class RequestFingerprintTest {
    private fun fingerprint(
        method: String = "POST",
        host: String = "shop.example",
        target: String = "/a/1?q=2",
        workspace: String? = "alpha",
        body: String = "some body",
    ) = RequestFingerprint.of(method, host, target, workspace?.let(::WorkspaceId), body.toByteArray())

    @Test
    fun `requests with the same content have the same fingerprint on every processor`() {
        assertEquals(fingerprint(), fingerprint(host = "SHOP.example"))
        assertEquals("c90636704f548dc3", fingerprint().toString())
    }

    @Test
    fun `requests that differ in method, host, target, workspace or body have different fingerprints`() {
        val others =
            listOf(
                fingerprint(method = "PUT"),
                fingerprint(host = "other.example"),
                fingerprint(target = "/a/1"),
                fingerprint(target = "/a/1?q=3"),
                fingerprint(workspace = "beta"),
                fingerprint(workspace = null),
                fingerprint(body = ""),
                fingerprint(body = "some bodY"),
            )
        assertEquals(others.size + 1, (others + fingerprint()).toSet().size)
    }
}
