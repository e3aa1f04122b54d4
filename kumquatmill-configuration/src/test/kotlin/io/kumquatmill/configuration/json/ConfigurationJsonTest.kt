package io.kumquatmill.configuration.json

import io.kumquatmill.configuration.edit.EditId
import io.kumquatmill.configuration.testConfiguration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ConfigurationJsonTest {
    @Test
    fun `a configuration is equal after encoding and decoding`() {
        assertEquals(testConfiguration, decodeConfiguration(encodeConfiguration(testConfiguration)).getOrNull())
    }

    @Test
    fun `a document without recorded edits is accepted`() {
        val document = decodeDocument(encodeConfiguration(testConfiguration)).getOrNull()
        assertEquals(testConfiguration, document?.configuration)
    }

    @Test
    fun `a document keeps only the newest edits`() {
        val document =
            (1..100).fold(ConfigurationDocument()) { document, number -> document.withEdit(EditId("$number"), testConfiguration) }
        assertEquals((37..100).map { EditId("$it") }, document.recentEdits)
    }

    @Test
    fun `unknown fields and invalid JSON are malformed`() {
        for (text in listOf("""{"plans":[],"customer":[]}""", "{", "", "[]", """{"plans":[{"id":"a"}]}""")) {
            assertIs<DecodeError.Malformed>(decodeConfiguration(text).leftOrNull(), text)
        }
    }

    @Test
    fun `values out of bounds are invalid`() {
        val text = """{"plans":[{"id":"a","ratePerS":0.0,"burst":1,"routes":[]}]}"""
        assertIs<DecodeError.Invalid>(decodeConfiguration(text).leftOrNull())
    }
}
