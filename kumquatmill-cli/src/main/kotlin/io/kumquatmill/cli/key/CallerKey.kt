package io.kumquatmill.cli.key

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.configuration.model.KeyHash
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private const val MIN_KEY_CHARS = 16
private const val MAX_KEY_CHARS = 512
private val allowedKeyCharacters = '!'..'~'

/** Secret API key of a caller; [toString] hides its text to keep it out of logs and messages. */
class CallerKey private constructor(
    internal val text: String,
) {
    /** Hash that is stored instead of the key. */
    val hash: KeyHash
        get() = KeyHash.of(text)

    override fun toString(): String = "CallerKey(hidden)"

    companion object {
        /** Parses [line] as a key, without leading and trailing white space. */
        fun parse(line: String): Either<CliError, CallerKey> {
            val text = line.trim()
            return when {
                text.length !in MIN_KEY_CHARS..MAX_KEY_CHARS ->
                    CliError.Usage("a key must be $MIN_KEY_CHARS to $MAX_KEY_CHARS characters long: check the key file or the input").left()

                !text.all { it in allowedKeyCharacters } ->
                    CliError.Usage("a key must be a single line of printable ASCII without spaces: check the key file or the input").left()

                else -> CallerKey(text).right()
            }
        }

        /** Reads a key from the file at [path], which must hold nothing else. */
        fun readFile(path: Path): Either<CliError, CallerKey> =
            try {
                parse(Files.readString(path))
            } catch (e: IOException) {
                CliError.Usage("can't read the key file $path (${e.javaClass.simpleName}): check the path and its permissions").left()
            }
    }
}
