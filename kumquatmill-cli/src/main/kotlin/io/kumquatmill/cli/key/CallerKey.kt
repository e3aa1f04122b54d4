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
private val keyCharacters = '!'..'~'

/** A caller's key; its text is not part of [toString], so that it does not reach logs or messages. */
class CallerKey private constructor(
    internal val text: String,
) {
    /** Hash under which the key is kept. */
    val hash: KeyHash
        get() = KeyHash.of(text)

    override fun toString(): String = "CallerKey(hidden)"

    companion object {
        /** Takes [line] without surrounding white space as a key. */
        fun parse(line: String): Either<CliError, CallerKey> {
            val text = line.trim()
            return when {
                text.length !in MIN_KEY_CHARS..MAX_KEY_CHARS ->
                    CliError.Usage("a key must have $MIN_KEY_CHARS to $MAX_KEY_CHARS characters: check the key file").left()

                !text.all { it in keyCharacters } ->
                    CliError.Usage("a key must be one line of printable ASCII without spaces: check the key file").left()

                else -> CallerKey(text).right()
            }
        }

        /** Reads a key from the file [path]. */
        fun readFile(path: Path): Either<CliError, CallerKey> =
            try {
                parse(Files.readString(path))
            } catch (e: IOException) {
                CliError.Usage("can't read the key file $path (${e.javaClass.simpleName}): check its path and permissions").left()
            }
    }
}
