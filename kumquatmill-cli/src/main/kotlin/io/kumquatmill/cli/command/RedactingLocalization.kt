package io.kumquatmill.cli.command

import com.github.ajalt.clikt.output.Localization

/** Omits unexpected arguments from error messages, because one may be a key that was passed by mistake. */
internal object RedactingLocalization : Localization {
    override fun extraArgumentOne(name: String): String = "got an unexpected extra argument"

    override fun extraArgumentMany(
        name: String,
        count: Int,
    ): String = "got $count unexpected extra arguments"

    override fun noSuchSubcommand(
        name: String,
        possibilities: List<String>,
    ): String = if (possibilities.isEmpty()) "no such command" else "no such command: did you mean ${possibilities.joinToString()}?"
}
