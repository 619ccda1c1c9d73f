package org.jujuberouter.stream;

import java.time.Duration;
import org.jujuberouter.misc.Ticker;

/**
 * Distinguishes a dead connection from an engine that has not produced output yet.
 *
 * <p>TCP does not report a path that fails without a reset, and no data arrives during a long prefill either. Only the
 * state that the engine reports over a new connection distinguishes the two. A connection is stalled when the response
 * makes no progress: dropped chunks do not count, since otherwise a connection that only repeats text would never be
 * abandoned.
 */
final class StallDetector {
    /** Well above the gaps between tokens (43 ms at the 95th percentile) and short enough for a waiting caller. */
    static final Duration STALL_TIMEOUT = Duration.ofSeconds(1);

    static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    /** Upper limit of the backoff between probes during a prefill; 4 s delayed first tokens by more than 4 s. */
    static final Duration MAX_PREFILL_PROBE_INTERVAL = Duration.ofSeconds(2);

    static final int MAX_UNANSWERED_PROBES = 2;

    /** Consecutive resumes without progress after which an endpoint is abandoned although it answers probes. */
    static final int MAX_FRUITLESS_RESUMES = 3;

    private final Ticker ticker;
    private long nextCheckNanos;
    private long probeNumber;
    private long firstValidProbe = 1;
    private boolean probing;
    private int unansweredProbes;
    private int fruitlessResumes;
    private Duration prefillProbeInterval = STALL_TIMEOUT;
    private boolean paused;
    private boolean abandoned;

    StallDetector(Ticker ticker) {
        this.ticker = ticker;
        scheduleCheck(STALL_TIMEOUT);
    }

    /** Resets the detector for another attempt; replies to earlier probes are ignored. */
    void restart() {
        abandoned = false;
        progress();
    }

    /** Records progress of the response. */
    void progress() {
        endProbe();
        unansweredProbes = 0;
        fruitlessResumes = 0;
        prefillProbeInterval = STALL_TIMEOUT;
        scheduleCheck(STALL_TIMEOUT);
    }

    /** Suspends detection: while the caller is slow nothing is read, so missing progress does not indicate a stall. */
    void pause() {
        paused = true;
        endProbe();
    }

    void unpause() {
        if (paused) {
            paused = false;
            scheduleCheck(STALL_TIMEOUT);
        }
    }

    /** Returns the decision that is due now, or {@link StreamDecision.Idle}. */
    StreamDecision tick(long textOffset) {
        if (paused || abandoned) {
            return new StreamDecision.Idle(Long.MAX_VALUE);
        }
        if (ticker.nanos() - nextCheckNanos < 0) {
            return new StreamDecision.Idle(nextCheckNanos);
        }
        return probing ? probeUnanswered(textOffset) : probe();
    }

    StreamDecision reply(long number, ProbeReply reply, long engineOffset, long textOffset) {
        if (paused || abandoned || !probing || number < firstValidProbe) {
            return new StreamDecision.Idle(paused || abandoned ? Long.MAX_VALUE : nextCheckNanos);
        }
        if (reply instanceof ProbeReply.NoReply) {
            // The failure of an earlier probe was already counted when it timed out.
            return number == probeNumber ? probeUnanswered(textOffset) : new StreamDecision.Idle(nextCheckNanos);
        }
        endProbe();
        unansweredProbes = 0;
        return switch (reply) {
            case ProbeReply.Prefill p -> engineOffset > 0 ? abandon(textOffset) : awaitPrefill();
            case ProbeReply.Generating g -> compareOffsets(g.offset(), engineOffset, textOffset);
            case ProbeReply.Ended e ->
                e.length() < engineOffset ? abandon(textOffset) : resume(engineOffset, textOffset);
            case ProbeReply.Unknown u -> abandon(textOffset);
            case ProbeReply.NoReply n -> throw new IllegalStateException("NoReply was handled before the switch");
        };
    }

    /** Returns a resume, or abandons the endpoint after several consecutive resumes without progress. */
    StreamDecision resume(long engineOffset, long textOffset) {
        endProbe();
        if (fruitlessResumes == MAX_FRUITLESS_RESUMES) {
            return abandon(textOffset);
        }
        fruitlessResumes++;
        scheduleCheck(STALL_TIMEOUT);
        return new StreamDecision.ResumeFrom(engineOffset);
    }

    StreamDecision abandon(long textOffset) {
        endProbe();
        abandoned = true;
        return new StreamDecision.ContinueElsewhere(textOffset);
    }

    private StreamDecision compareOffsets(long generated, long received, long textOffset) {
        if (generated < received) {
            // The engine is behind what it already sent, so it lost the request and restarted it.
            return abandon(textOffset);
        }
        if (generated > received) {
            return resume(received, textOffset);
        }
        scheduleCheck(STALL_TIMEOUT);
        return new StreamDecision.Idle(nextCheckNanos);
    }

    private StreamDecision awaitPrefill() {
        scheduleCheck(prefillProbeInterval);
        prefillProbeInterval = prefillProbeInterval.multipliedBy(2);
        if (prefillProbeInterval.compareTo(MAX_PREFILL_PROBE_INTERVAL) > 0) {
            prefillProbeInterval = MAX_PREFILL_PROBE_INTERVAL;
        }
        return new StreamDecision.WaitPrefill(nextCheckNanos);
    }

    private StreamDecision probeUnanswered(long textOffset) {
        unansweredProbes++;
        return unansweredProbes == MAX_UNANSWERED_PROBES ? abandon(textOffset) : probe();
    }

    private StreamDecision probe() {
        probing = true;
        probeNumber++;
        scheduleCheck(PROBE_TIMEOUT);
        return new StreamDecision.Probe(probeNumber);
    }

    private void endProbe() {
        probing = false;
        firstValidProbe = probeNumber + 1;
    }

    private void scheduleCheck(Duration time) {
        nextCheckNanos = ticker.nanos() + time.toNanos();
    }
}
