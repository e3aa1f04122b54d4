package io.kumquatmill.cli.fleet

/** Returns the reports of the hosts on which configuration [revision] is not in force. */
fun laggingHosts(
    reports: List<HostReport>,
    revision: Long,
): List<HostReport> =
    reports.filter { report ->
        val status = report.status
        status == null || status.configurationRevision < revision
    }
