package io.kumquatmill.common.cbor

import kotlin.test.Test
import kotlin.test.assertEquals

class CborWellFormednessTest {
    private fun bytes(hex: String) = hex.chunked(2).map { it.toInt(16).toByte() }.toByteArray()

    @Test
    fun `complete items are well formed`() {
        val items =
            listOf(
                "00", // 0
                "1903e8", // 1000
                "80", // []
                "83010203", // [1, 2, 3]
                "8380a06100", // [[], {}, "\u0000"]
                "a1616101", // {"a": 1}
                "bf61619f0102ffff", // {"a": [1, 2]} with indefinite lengths
                "c11a514b67b0", // tagged number
                "7f6161ff", // text of indefinite length
                "fb3ff199999999999a", // 1.1
                "5803010203", // byte string of 3 bytes
            )
        assertEquals(emptyList(), items.filterNot { isWellFormedCbor(bytes(it)) })
    }

    @Test
    fun `truncated items, excess bytes and sizes beyond the input are not well formed`() {
        val items =
            listOf(
                "",
                "9a7fffffff", // array of 2^31 - 1
                "ba7fffffff00", // map of 2^31 - 1
                "5a7fffffff00", // byte string of 2^31 - 1 bytes
                "7bffffffffffffffff", // text of 2^64 - 1 bytes
                "830102", // array of 3 with 2 elements
                "9f01", // array of indefinite length without end
                "a20102", // map of 2 with one entry
                "19ff", // argument of 2 bytes with 1
                "1c", // reserved
                "ff", // end of nothing
                "82ff", // end in an array of definite length
                "0000", // two items
                "c1", // tag of nothing
                "81".repeat(40) + "00", // 40 levels
            )
        assertEquals(emptyList(), items.filter { isWellFormedCbor(bytes(it)) })
    }
}
