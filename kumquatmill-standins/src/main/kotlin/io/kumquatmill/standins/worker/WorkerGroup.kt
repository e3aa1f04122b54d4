package io.kumquatmill.standins.worker

/** Group of [count] workers of one upstream, named `name-1`, `name-2` and so on, that run in one process. */
data class WorkerGroup(
    val name: String,
    val count: Int,
    val slots: Int,
    val serviceMs: Double,
) {
    companion object {
        private val pattern = Regex("([^:]+):([0-9]{1,6}):([0-9]{1,6}):([0-9]+(?:[.][0-9]+)?)")

        /** Parses `NAME:COUNT:SLOTS:SERVICE_MS`, or returns null if [text] does not have this format. */
        fun parse(text: String): WorkerGroup? {
            val fields = pattern.matchEntire(text)?.groupValues ?: return null
            return WorkerGroup(
                name = fields[NAME_FIELD],
                count = fields[COUNT_FIELD].toInt(),
                slots = fields[SLOTS_FIELD].toInt(),
                serviceMs = fields[SERVICE_MS_FIELD].toDouble(),
            )
        }

        private const val NAME_FIELD = 1
        private const val COUNT_FIELD = 2
        private const val SLOTS_FIELD = 3
        private const val SERVICE_MS_FIELD = 4
    }
}
