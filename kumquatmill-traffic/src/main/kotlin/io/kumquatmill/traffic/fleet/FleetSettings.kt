package io.kumquatmill.traffic.fleet

/** Intervals and timeouts of a [FleetView]; the silence of a host is the time since its last report. */
data class FleetSettings(
    /** Time between two reports of a host in a fleet of at most [smallFleetMaxHosts] hosts. */
    val reportIntervalMs: Long = 500,
    /** Time between two reports in a larger fleet, in which each host sends and receives more of them. */
    val largeFleetReportIntervalMs: Long = 1_000,
    val smallFleetMaxHosts: Int = 20,
    /**
     * Reports a second that a host receives at most. In a fleet of more hosts, the time between two reports grows with the fleet, up to
     * [maxReportIntervalMs]: at 98 hosts, receiving and sending reports took three fifths of the processor time of an idle host.
     */
    val maxReportsPerS: Int = 50,
    /** Longest time between two reports; a host that fails must be known to have failed within [maxLiveMs]. */
    val maxReportIntervalMs: Long = 2_000,
    /**
     * Time for which a small fleet collects changes of the store, a tenth of the delay that operators allow.
     */
    val changeBatchMs: Long = 300,
    /**
     * Time for each host for which a larger fleet collects changes. The heartbeat of any worker ends the watch of every host, and each
     * watch is charged for: 34 hosts that collected changes for 0.5 s made 54 calls a second.
     */
    val changeBatchPerHostMs: Long = 30,
    /** Two fifths of the time that operators allow a large fleet for a change. */
    val maxChangeBatchMs: Long = 1_200,
    /**
     * In a fleet of more hosts, one host of each availability zone watches the store and the others ask it: 98 hosts that watched it
     * themselves made 61 calls each in a quiet day of 55 s.
     */
    val sharedWatchMinHosts: Int = 50,
    /** Time for which the reader of an availability zone collects changes. Few hosts are readers, so that their calls cost little. */
    val readerBatchMs: Long = 300,
    /**
     * Longest wait of a reader's watch. Its peers learn from the age of the last answer that it has lost the store, so it asks often also
     * while nothing changes.
     */
    val readerWatchMs: Long = 250,
    /** Time between two questions to the reader. With [readerBatchMs] it is shorter than [maxChangeBatchMs]. */
    val readerPollMs: Long = 700,
    /** Time for which a host asks the store itself after its reader did not answer; as long as a silent reader's report may be fresh. */
    val readerRetryMs: Long = 5_000,
    /** Time for which a reader that did not answer is passed over: it may report, but not reach the store. */
    val readerExclusionMs: Long = 15_000,
    /** A report is fresh for this many report intervals, so that two of three reports may be lost or late. */
    val freshIntervals: Double = 2.5,
    /** A host that is silent for more than this many report intervals is no longer offered to callers. */
    val liveIntervals: Double = 5.0,
    /** Longest silence after which a host is still offered to callers, whatever the report interval is. */
    val maxLiveMs: Long = 5_000,
    /** A host in contact with at most half of the fleet for longer than this uses only its even share of each rate limit. */
    val isolatedAfterMs: Long = 8_000,
    /**
     * Peers keep a silent host's share of a rate limit reserved for this long. It is longer than [isolatedAfterMs], after which the
     * host gives the share up itself.
     */
    val lostAfterMs: Long = 10_000,
    /** How long a host that knows no peers waits for them before it considers itself the only host. */
    val aloneAfterMs: Long = 5_000,
    /** How long a silent host without a record in the store still counts towards the size of the fleet. */
    val forgetAfterMs: Long = 60_000,
)
