package io.kumquatmill.bench.table

/** Returns a Markdown table of [header] and [rows] with aligned columns. */
internal fun textTable(
    header: List<String>,
    rows: List<List<String>>,
): String {
    val widths = header.indices.map { column -> (rows + listOf(header)).maxOf { it[column].length } }
    val separator = widths.map { "-".repeat(it) }
    return (listOf(header, separator) + rows).joinToString("\n") { row ->
        row.indices.joinToString(" | ", "| ", " |") { row[it].padEnd(widths[it]) }
    }
}

/** Formats [value] with about three significant digits and no exponent. */
internal fun formatFigure(value: Double): String {
    val magnitude = kotlin.math.abs(value)
    return when {
        magnitude >= HUNDRED -> "%,.0f".format(value)
        magnitude >= TEN -> "%.1f".format(value)
        magnitude >= HUNDREDTH -> "%.2f".format(value)
        value == 0.0 -> "0"
        else -> "%.5f".format(value)
    }
}

private const val HUNDRED = 100.0
private const val TEN = 10.0
private const val HUNDREDTH = 0.01
