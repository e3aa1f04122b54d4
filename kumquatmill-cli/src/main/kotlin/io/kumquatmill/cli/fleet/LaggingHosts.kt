package io.kumquatmill.cli.fleet

/** Returns the reports of hosts on which configuration [revision] is not in force yet; a host without status counts as lagging. */
fun laggingHosts(
    reports: List<HostReport>,
    revision: Long,
): List<HostReport> =
    reports.filter { report ->
        val status = report.status
        status == null || status.configurationRevision < revision
    }
