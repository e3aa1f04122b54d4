package io.kumquatmill.cli.output

private const val COLUMN_GAP = "  "

/** Text table; [columns] are the headings, and each row has one cell per column. */
data class Table(
    val columns: List<String>,
    val rows: List<List<String>>,
) {
    /** Formats the table as text, with each column padded to its widest cell. */
    fun render(): String {
        val widths = columns.indices.map { column -> (rows + listOf(columns)).maxOf { it[column].length } }
        return (listOf(columns) + rows).joinToString("\n") { row ->
            row.zip(widths).joinToString(COLUMN_GAP) { (cell, width) -> cell.padEnd(width) }.trimEnd()
        }
    }
}
