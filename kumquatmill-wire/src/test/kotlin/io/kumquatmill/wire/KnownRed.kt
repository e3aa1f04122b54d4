package io.kumquatmill.wire

import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readLines

private const val FILE_NAME = "KNOWN-RED.txt"
private val quotedText = Regex("\"([^\"]+)\"")

/**
 * Runs [check]; if it fails as KNOWN-RED.txt lists it for [test], prints the failure and passes over it.
 *
 * The first column of a line names the test. The failure's message must contain every text that the second column quotes.
 */
internal fun passOverKnownRed(
    test: String,
    check: () -> Unit,
) {
    val failure = runCatching(check).exceptionOrNull() ?: return
    val message = failure.message.orEmpty()
    if (knownRedLines().none { it.lists(test, message) }) throw failure
    println("listed in $FILE_NAME: $test: $message")
}

private fun String.lists(
    test: String,
    message: String,
): Boolean {
    val columns = split(" | ")
    val quotedTexts = quotedText.findAll(columns.getOrElse(1) { "" }).map { it.groupValues[1] }.toList()
    return "\"$test\"" in columns.first() && quotedTexts.isNotEmpty() && quotedTexts.all { it in message }
}

private fun knownRedLines(): List<String> {
    val directories = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
    val file = directories.map { it.resolve(FILE_NAME) }.firstOrNull { it.exists() }
    return file?.readLines().orEmpty()
}
