package io.kumquatmill.configuration.json

import io.kumquatmill.configuration.edit.EditId
import io.kumquatmill.configuration.testLists
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ListsJsonTest {
    @Test
    fun `lists are the same after encoding and decoding`() {
        assertEquals(testLists, decodeLists(encodeLists(testLists)).getOrNull())
    }

    @Test
    fun `a document without recorded edits is accepted`() {
        val document = decodeDocument(encodeLists(testLists)).getOrNull()
        assertEquals(testLists, document?.lists)
    }

    @Test
    fun `a document keeps the newest edits only`() {
        val document = (1..100).fold(ListsDocument()) { document, number -> document.withEdit(EditId("$number"), testLists) }
        assertEquals((37..100).map { EditId("$it") }, document.recentEdits)
    }

    @Test
    fun `unknown fields and broken text are malformed`() {
        for (text in listOf("""{"plans":[],"customer":[]}""", "{", "", "[]", """{"plans":[{"id":"a"}]}""")) {
            assertIs<DecodeError.Malformed>(decodeLists(text).leftOrNull(), text)
        }
    }

    @Test
    fun `values that are not acceptable are invalid`() {
        val text = """{"plans":[{"id":"a","ratePerS":0.0,"burst":1,"routes":[]}]}"""
        assertIs<DecodeError.Invalid>(decodeLists(text).leftOrNull())
    }
}
