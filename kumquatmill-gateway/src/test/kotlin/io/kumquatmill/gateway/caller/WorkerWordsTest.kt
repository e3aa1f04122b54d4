package io.kumquatmill.gateway.caller

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.traffic.leaving.WorkerWord
import io.kumquatmill.traffic.pause.StatedPause
import io.undertow.util.HeaderMap
import io.undertow.util.HttpString
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class WorkerWordsTest {
    private val names =
        HttpHeaderNames(
            "id",
            "deadline",
            "affinity",
            "workspace",
            "expected",
            "load",
            "limit",
            "not-run",
            "proof",
            leaving = "leaving",
            workerId = "worker",
        )

    private fun headers(vararg headers: Pair<String, String>) =
        HeaderMap().also { map -> headers.forEach { (name, value) -> map.add(HttpString(name), value) } }

    private fun word(
        status: Int,
        vararg headers: Pair<String, String>,
        isFirstAnswer: Boolean = true,
    ): WorkerWord? = parseWorkerWord(status, headers(*headers), "r-1", isFirstAnswer, names)

    private fun pauseOf(vararg values: String) =
        parsePause(headers("Date" to "Sun, 06 Dec 2026 08:00:00 GMT", *values.map { "Retry-After" to it }.toTypedArray()))

    @Test
    fun `a worker leaves by an answer with any status, also to another request, and only by the value that says so`() {
        listOf(200, 404, 421, 429, 500, 503).forEach { status ->
            listOf("r-1", "r-0").forEach { id ->
                val expected = WorkerWord(isLeaving = true, isMisdirected = status == 421)
                assertEquals(expected, word(status, "id" to id, "leaving" to "1"), "status $status, id $id")
            }
        }
        listOf("0", "", "2", "true", "-1").forEach { assertNull(word(200, "id" to "r-1", "leaving" to it), "value '$it'") }
        assertNull(word(200, "id" to "r-1"))
        val unnamed = HttpHeaderNames("id", "d", "a", "w", "e", "l", "m", "n", "p")
        assertNull(parseWorkerWord(200, headers("leaving" to "1"), "r-1", true, unnamed), "a platform without the header")
    }

    @Test
    fun `an answer may name its worker, but not two`() {
        assertEquals(WorkerId("w1"), word(200, "leaving" to "1", "worker" to " w1 ")?.worker)
        assertNull(word(200, "leaving" to "1", "worker" to "w1", "worker" to "w2"))
        assertNull(word(200, "leaving" to "1", "worker" to "")?.worker)
    }

    /** Guards against the copy of a refusal, or a refusal of another request, that keeps a worker out. */
    @Test
    fun `a pause counts only in a 503 that names the request alone and is the first answer to it on its connection`() {
        val pause = StatedPause.Named(4_000)
        assertEquals(pause, word(503, "id" to "r-1", "Retry-After" to "4")?.pause)
        assertNull(word(503, "id" to "r-1", "Retry-After" to "4", isFirstAnswer = false), "a copy")
        assertNull(word(503, "id" to "r-0", "Retry-After" to "4"), "another request")
        assertNull(word(503, "id" to "r-1", "id" to "r-0", "Retry-After" to "4"), "two requests")
        assertNull(word(503, "Retry-After" to "4"), "no request")
        listOf(200, 301, 421, 429, 500).forEach { assertNull(word(it, "id" to "r-1", "Retry-After" to "4"), "status $it") }
        val copyThatLeaves = word(503, "id" to "r-1", "Retry-After" to "4", "leaving" to "1", isFirstAnswer = false)
        assertEquals(WorkerWord(isLeaving = true), copyThatLeaves)
    }

    @Test
    fun `a pause is named in seconds, with a fraction, or as a date`() {
        assertEquals(StatedPause.Named(4_000), pauseOf("4"))
        assertEquals(StatedPause.Named(4_000), pauseOf(" 4 "))
        assertEquals(StatedPause.Named(251), pauseOf("0.2503"), "never shorter than stated")
        assertEquals(StatedPause.Named(1), pauseOf(".0001"))
        assertEquals(StatedPause.Named(7_000), pauseOf("Sun, 06 Dec 2026 08:00:07 GMT"), "from the date of the answer")
        assertEquals(StatedPause.None, pauseOf("0"))
        assertEquals(StatedPause.None, pauseOf("Sun, 06 Dec 2026 07:59:59 GMT"), "a date that is over")
        assertEquals(StatedPause.None, pauseOf())
    }

    @Test
    fun `a huge pause is capped, the longest of several counts, and what cannot be read does not count`() {
        listOf("1e300", "9".repeat(100), "1000000", "1e999").forEach { assertEquals(StatedPause.Named(1_000_000_000), pauseOf(it), it) }
        assertEquals(StatedPause.Named(5_000), pauseOf("4", "5", "3"))
        assertEquals(StatedPause.Named(5_000), pauseOf("4, 5"))
        assertEquals(StatedPause.Named(4_000), pauseOf("soon", "4"))
        listOf("-4", "soon", "", "4s", "NaN", "Infinity", "0x10", "4;5", "+4", "Sun, 99 Dec 2026 08:00:07 GMT").forEach {
            assertEquals(StatedPause.Invalid, pauseOf(it), "'$it'")
        }
        assertEquals(StatedPause.Invalid, parsePause(headers("Retry-After" to "Sun, 06 Dec 2026 08:00:07 GMT")), "a date without another")
    }
}
