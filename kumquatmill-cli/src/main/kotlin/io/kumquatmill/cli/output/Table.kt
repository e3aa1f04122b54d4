package io.kumquatmill.cli.output

private const val COLUMN_GAP = "  "

/** Text table with a title for each column. */
data class Table(
    val columns: List<String>,
    val rows: List<List<String>>,
) {
    /** Returns the table with columns as wide as their widest cell. */
    fun render(): String {
        val widths = columns.indices.map { column -> (rows + listOf(columns)).maxOf { it[column].length } }
        return (listOf(columns) + rows).joinToString("\n") { row ->
            row.zip(widths).joinToString(COLUMN_GAP) { (cell, width) -> cell.padEnd(width) }.trimEnd()
        }
    }
}
