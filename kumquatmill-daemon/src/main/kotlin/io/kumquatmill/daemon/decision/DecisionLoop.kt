package io.kumquatmill.daemon.decision

import io.github.oshai.kotlinlogging.KotlinLogging
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.node.EntryNode
import io.kumquatmill.node.effect.NodeEffect
import io.kumquatmill.node.event.NodeEvent
import org.jctools.queues.MpscArrayQueue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.LockSupport

private val logger = KotlinLogging.logger {}

/**
 * Event loop that owns the node: its single thread delivers events and ticks to the node and passes the effects on.
 *
 * Events wait in bounded queues. Requests, queries and peer messages are rejected when their queue is full. Results of work that
 * the node requested have a separate queue, and [putResult] blocks until it has space. [onEventFailure] receives each event that
 * made the node throw; none of the event's effects were executed.
 */
class DecisionLoop(
    private val node: EntryNode,
    queueCapacity: Int,
    peerQueueCapacity: Int,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val onEventFailure: (NodeEvent) -> Unit = {},
    private val handleEffect: (NodeEffect) -> Unit,
) : AutoCloseable {
    private val results = MpscArrayQueue<NodeEvent>(atLeastTwo(queueCapacity))
    private val requests = MpscArrayQueue<NodeEvent>(atLeastTwo(queueCapacity))
    private val peerMessages = MpscArrayQueue<NodeEvent>(atLeastTwo(peerQueueCapacity))
    private val queries = MpscArrayQueue<Runnable>(atLeastTwo(queueCapacity))
    private val isParked = AtomicBoolean()
    private val thread = Thread(::run, "decision").apply { isDaemon = true }
    private var nextTickMs = Long.MIN_VALUE

    @Volatile
    private var isClosed = false

    /** Time of the last tick, in milliseconds of the loop's clock. If it stops advancing, the decision thread is stuck. */
    @Volatile
    var lastTickMs: Long = clock.nowMs()
        private set

    /** Number of queued events, by queue name. */
    val queueDepths: Map<String, Int>
        get() =
            mapOf(
                "results" to results.size,
                "requests" to requests.size,
                "peers" to peerMessages.size,
                "questions" to queries.size,
            )

    fun start() = thread.start()

    /** Queues a caller's request, or returns false if the queue is full. */
    fun offerRequest(event: NodeEvent): Boolean = requests.offer(event).also { wake() }

    /** Queues a message from a peer, or returns false if the queue is full. */
    fun offerPeerMessage(event: NodeEvent): Boolean = peerMessages.offer(event).also { wake() }

    /** Queues a result without blocking, or returns false if the queue is full. For threads that must not block. */
    fun offerResult(event: NodeEvent): Boolean = results.offer(event).also { wake() }

    /** Queues the result of work that the node requested, blocking while the queue is full. Drops it if the loop is closed. */
    fun putResult(event: NodeEvent) {
        while (!results.offer(event) && !isClosed) LockSupport.parkNanos(FULL_QUEUE_RETRY_NS)
        wake()
    }

    /** Runs [block] with the node and the current time on the decision thread. Returns null if the query queue is full. */
    fun <T> query(block: (EntryNode, Long) -> T): CompletableFuture<T>? {
        val result = CompletableFuture<T>()
        val isAccepted = queries.offer { result.complete(block(node, clock.nowMs())) }
        wake()
        return if (isAccepted) result else null
    }

    override fun close() {
        isClosed = true
        LockSupport.unpark(thread)
    }

    private fun run() {
        while (!isClosed) {
            val hasProcessedAny = processBatch()
            tickIfDue()
            if (!hasProcessedAny) park()
        }
    }

    private fun processBatch(): Boolean {
        var processed = 0
        processed += processEvents(results)
        processed += processEvents(peerMessages)
        processed += processEvents(requests)
        processed += queries.drain({ runSafely { it.run() } }, MAX_BATCH_SIZE)
        return processed > 0
    }

    private fun processEvents(queue: MpscArrayQueue<NodeEvent>): Int = queue.drain({ handle(it) }, MAX_BATCH_SIZE)

    private fun tickIfDue() {
        val nowMs = clock.nowMs()
        if (nowMs < nextTickMs) return
        nextTickMs = nowMs + NodeEvent.TICK_INTERVAL_MS
        lastTickMs = nowMs
        handle(NodeEvent.Tick)
    }

    private fun handle(event: NodeEvent) {
        val effects = runSafely { node.handle(clock.nowMs(), event) }
        if (effects == null) onEventFailure(event) else effects.forEach { effect -> runSafely { handleEffect(effect) } }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun <T : Any> runSafely(action: () -> T): T? =
        try {
            action()
        } catch (e: RuntimeException) {
            logger.error(e) { "failed to handle an event, an effect or a query; continuing with the next one" }
            null
        }

    private fun park() {
        isParked.set(true)
        if (isEmpty()) LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(nextTickMs - clock.nowMs()))
        isParked.set(false)
    }

    private fun isEmpty() = results.isEmpty() && requests.isEmpty() && peerMessages.isEmpty() && queries.isEmpty()

    private fun wake() {
        if (isParked.get()) LockSupport.unpark(thread)
    }

    private companion object {
        const val MAX_BATCH_SIZE = 64
        const val FULL_QUEUE_RETRY_NS = 1_000_000L

        fun atLeastTwo(capacity: Int): Int = maxOf(2, capacity)
    }
}
