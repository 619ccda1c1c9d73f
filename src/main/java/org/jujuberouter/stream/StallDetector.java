package org.jujuberouter.stream;

import java.time.Duration;
import org.jujuberouter.misc.Ticker;

/**
 * Tells a connection that went silent from one that has nothing to say.
 *
 * <p>TCP gives no sign when a path dies without a reset, and a long prefill is just as quiet. Only the engine's own state
 * over a new connection tells the two apart. Silence means no progress of the answer: chunks that had to be dropped do not
 * count, or a connection that only repeats itself would never be abandoned.
 */
final class StallDetector {
    /** Longer than any gap between tokens (43 ms at the 95th percentile), shorter than a caller's patience. */
    static final Duration SILENCE = Duration.ofSeconds(1);

    static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    /** While the engine confirms a prefill, questions become rarer up to this; 4 s delayed first tokens by over 4 s. */
    static final Duration MAX_PREFILL_WAIT = Duration.ofSeconds(2);

    static final int MAX_UNANSWERED = 2;

    /** Resumes in a row that brought nothing, after which the endpoint is given up although it answers probes. */
    static final int MAX_FRUITLESS_RESUMES = 3;

    private final Ticker ticker;
    private long quietUntil;
    private long probeNumber;
    private long firstValidProbe = 1;
    private boolean probing;
    private int unanswered;
    private int fruitlessResumes;
    private Duration prefillWait = SILENCE;
    private boolean paused;
    private boolean givenUp;

    StallDetector(Ticker ticker) {
        this.ticker = ticker;
        expectWithin(SILENCE);
    }

    /** Starts over for another attempt; replies to earlier probes no longer count. */
    void restart() {
        givenUp = false;
        progress();
    }

    /** Notes that the answer grew. */
    void progress() {
        endProbe();
        unanswered = 0;
        fruitlessResumes = 0;
        prefillWait = SILENCE;
        expectWithin(SILENCE);
    }

    /** Suspends detection: while the caller is slow nothing is read, so silence says nothing about the connection. */
    void pause() {
        paused = true;
        endProbe();
    }

    void unpause() {
        if (paused) {
            paused = false;
            expectWithin(SILENCE);
        }
    }

    /** Returns the decision that is due, or one to be idle. */
    StreamDecision tick(long textOffset) {
        if (paused || givenUp) {
            return new StreamDecision.Idle(Long.MAX_VALUE);
        }
        if (ticker.nanos() - quietUntil < 0) {
            return new StreamDecision.Idle(quietUntil);
        }
        return probing ? noAnswer(textOffset) : probe();
    }

    StreamDecision reply(long number, ProbeReply reply, long engineOffset, long textOffset) {
        if (paused || givenUp || !probing || number < firstValidProbe) {
            return new StreamDecision.Idle(paused || givenUp ? Long.MAX_VALUE : quietUntil);
        }
        if (reply instanceof ProbeReply.NoReply) {
            // The failure of an earlier probe was already counted when its time passed.
            return number == probeNumber ? noAnswer(textOffset) : new StreamDecision.Idle(quietUntil);
        }
        endProbe();
        unanswered = 0;
        return switch (reply) {
            case ProbeReply.Prefill p -> engineOffset > 0 ? giveUp(textOffset) : waitPrefill();
            case ProbeReply.Generating g -> compare(g.offset(), engineOffset, textOffset);
            case ProbeReply.Ended e ->
                e.length() < engineOffset ? giveUp(textOffset) : resume(engineOffset, textOffset);
            case ProbeReply.Unknown u -> giveUp(textOffset);
            case ProbeReply.NoReply n -> throw new IllegalStateException("handled above");
        };
    }

    /** Orders a resume, or gives the endpoint up when several in a row brought nothing. */
    StreamDecision resume(long engineOffset, long textOffset) {
        endProbe();
        if (fruitlessResumes == MAX_FRUITLESS_RESUMES) {
            return giveUp(textOffset);
        }
        fruitlessResumes++;
        expectWithin(SILENCE);
        return new StreamDecision.ResumeFrom(engineOffset);
    }

    StreamDecision giveUp(long textOffset) {
        endProbe();
        givenUp = true;
        return new StreamDecision.ContinueElsewhere(textOffset);
    }

    private StreamDecision compare(long theirs, long ours, long textOffset) {
        if (theirs < ours) {
            // An engine that is behind what it sent lost the request and started it again.
            return giveUp(textOffset);
        }
        if (theirs > ours) {
            return resume(ours, textOffset);
        }
        expectWithin(SILENCE);
        return new StreamDecision.Idle(quietUntil);
    }

    private StreamDecision waitPrefill() {
        expectWithin(prefillWait);
        prefillWait = prefillWait.multipliedBy(2);
        if (prefillWait.compareTo(MAX_PREFILL_WAIT) > 0) {
            prefillWait = MAX_PREFILL_WAIT;
        }
        return new StreamDecision.WaitPrefill(quietUntil);
    }

    private StreamDecision noAnswer(long textOffset) {
        unanswered++;
        return unanswered == MAX_UNANSWERED ? giveUp(textOffset) : probe();
    }

    private StreamDecision probe() {
        probing = true;
        probeNumber++;
        expectWithin(PROBE_TIMEOUT);
        return new StreamDecision.Probe(probeNumber);
    }

    private void endProbe() {
        probing = false;
        firstValidProbe = probeNumber + 1;
    }

    private void expectWithin(Duration time) {
        quietUntil = ticker.nanos() + time.toNanos();
    }
}
