package io.kumquatmill.cli.command

import com.github.ajalt.clikt.output.Localization

/** Messages that leave out unexpected arguments, since one may be a key that was given by mistake. */
internal object ArgumentsUnprinted : Localization {
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
