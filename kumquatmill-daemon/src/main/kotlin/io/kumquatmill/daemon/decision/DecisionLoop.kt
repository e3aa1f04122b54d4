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
 * The thread that owns the node: it feeds events and ticks and passes on the effects.
 *
 * Events wait in bounded rings. Requests, questions and peer messages are refused when theirs is full; results of work that the
 * node asked for have a ring of their own and wait for room. [onFault] gets an event that the node failed on; none of its
 * effects was carried out.
 */
class DecisionLoop(
    private val node: EntryNode,
    ringCapacity: Int,
    peerRingCapacity: Int,
    private val clock: MonotonicClock = MonotonicClock.system,
    private val onFault: (NodeEvent) -> Unit = {},
    private val carryOut: (NodeEffect) -> Unit,
) : AutoCloseable {
    private val results = MpscArrayQueue<NodeEvent>(atLeastTwo(ringCapacity))
    private val requests = MpscArrayQueue<NodeEvent>(atLeastTwo(ringCapacity))
    private val peerMessages = MpscArrayQueue<NodeEvent>(atLeastTwo(peerRingCapacity))
    private val questions = MpscArrayQueue<Runnable>(atLeastTwo(ringCapacity))
    private val isParked = AtomicBoolean()
    private val thread = Thread(::run, "decision").apply { isDaemon = true }
    private var nextTickMs = Long.MIN_VALUE

    @Volatile
    private var isClosed = false

    /** Time of the last tick; a value that stands still shows that the thread hangs. */
    @Volatile
    var lastTickMs: Long = clock.nowMs()
        private set

    /** Number of events that wait, by ring. */
    val depths: Map<String, Int>
        get() =
            mapOf(
                "results" to results.size,
                "requests" to requests.size,
                "peers" to peerMessages.size,
                "questions" to questions.size,
            )

    fun start() = thread.start()

    /** Takes in a caller's request, or returns false when the ring is full. */
    fun offerRequest(event: NodeEvent): Boolean = requests.offer(event).also { wake() }

    /** Takes in a peer's message, or returns false when the ring is full. */
    fun offerPeerMessage(event: NodeEvent): Boolean = peerMessages.offer(event).also { wake() }

    /** Takes in [event] if there is room; for threads that must not wait. */
    fun offerResult(event: NodeEvent): Boolean = results.offer(event).also { wake() }

    /** Takes in the result of work that the node asked for; waits for room. */
    fun putResult(event: NodeEvent) {
        while (!results.offer(event) && !isClosed) LockSupport.parkNanos(WAIT_FOR_ROOM_NS)
        wake()
    }

    /** Asks the node on its thread; returns null when the ring of questions is full. */
    fun <T> ask(question: (EntryNode, Long) -> T): CompletableFuture<T>? {
        val answer = CompletableFuture<T>()
        val isTaken = questions.offer { answer.complete(question(node, clock.nowMs())) }
        wake()
        return if (isTaken) answer else null
    }

    override fun close() {
        isClosed = true
        LockSupport.unpark(thread)
    }

    private fun run() {
        while (!isClosed) {
            val hasWorked = drain()
            tickIfDue()
            if (!hasWorked) park()
        }
    }

    private fun drain(): Boolean {
        var worked = 0
        worked += drainEvents(results)
        worked += drainEvents(peerMessages)
        worked += drainEvents(requests)
        worked += questions.drain({ guarded { it.run() } }, BATCH)
        return worked > 0
    }

    private fun drainEvents(ring: MpscArrayQueue<NodeEvent>): Int = ring.drain({ handle(it) }, BATCH)

    private fun tickIfDue() {
        val nowMs = clock.nowMs()
        if (nowMs < nextTickMs) return
        nextTickMs = nowMs + NodeEvent.TICK_INTERVAL_MS
        lastTickMs = nowMs
        handle(NodeEvent.Tick)
    }

    private fun handle(event: NodeEvent) {
        val effects = guarded { node.handle(clock.nowMs(), event) }
        if (effects == null) onFault(event) else effects.forEach { effect -> guarded { carryOut(effect) } }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun <T : Any> guarded(work: () -> T): T? =
        try {
            work()
        } catch (e: RuntimeException) {
            logger.error(e) { "a decision failed; the node goes on with the next event" }
            null
        }

    private fun park() {
        isParked.set(true)
        if (isEmpty()) LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(nextTickMs - clock.nowMs()))
        isParked.set(false)
    }

    private fun isEmpty() = results.isEmpty() && requests.isEmpty() && peerMessages.isEmpty() && questions.isEmpty()

    private fun wake() {
        if (isParked.get()) LockSupport.unpark(thread)
    }

    private companion object {
        const val BATCH = 64
        const val WAIT_FOR_ROOM_NS = 1_000_000L

        fun atLeastTwo(capacity: Int): Int = maxOf(2, capacity)
    }
}
