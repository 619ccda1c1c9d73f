package org.jujuberouter.stream;

import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;

/**
 * Puts one caller's answer together from chunks that may be late, crossed, repeated or missing.
 *
 * <p>Each chunk carries the id of the engine request and its offset there. Only the characters that follow directly on what
 * was delivered are passed on: another id is dropped, a lower offset is cut or dropped, and a higher one is a gap that
 * forces a resume. The end is accepted only at the exact length. Whichever connection a chunk came on does not matter.
 *
 * <p>When the answer continues elsewhere, the new engine request counts from 0 again; the text delivered so far is part of
 * its prompt.
 *
 * <p>Offsets count characters (UTF-16 units) and no text is held here. Thread-safe: the reader of the connection, the timer
 * and the writer to the caller report to the same stream.
 */
public final class ResponseStream {
    private final StallDetector silence;
    private RequestId attempt;
    private long base;
    private long engineOffset;
    private boolean resuming;
    private boolean abandoned;
    private boolean complete;

    private ResponseStream(RequestId attempt, Ticker ticker) {
        this.attempt = attempt;
        this.silence = new StallDetector(ticker);
    }

    /**
     * Returns a stream of which nothing has arrived; to be opened when the request has been sent.
     *
     * @param attempt the id that the engine was given, different for each attempt
     */
    public static ResponseStream open(RequestId attempt, Ticker ticker) {
        return new ResponseStream(attempt, ticker);
    }

    /** Returns the length of the answer delivered so far. */
    public synchronized long textOffset() {
        return base + engineOffset;
    }

    /** Returns how much of the current engine request was delivered, the offset from which to resume it. */
    public synchronized long engineOffset() {
        return engineOffset;
    }

    /** Checks a chunk. */
    public synchronized StreamDecision chunk(RequestId id, long offset, int length) {
        if (complete) {
            return new StreamDecision.Drop(DropReason.AFTER_END);
        }
        if (abandoned || !id.equals(attempt)) {
            return new StreamDecision.Drop(DropReason.OTHER_REQUEST);
        }
        if (offset > engineOffset) {
            return gap();
        }
        long skip = engineOffset - offset;
        if (skip >= length) {
            return new StreamDecision.Drop(DropReason.REPEATED);
        }
        engineOffset = offset + length;
        resuming = false;
        silence.progress();
        return new StreamDecision.Deliver((int) skip);
    }

    /**
     * Checks the end marker of an engine request.
     *
     * @param length the length of everything that the engine generated for it
     */
    public synchronized StreamDecision end(RequestId id, long length) {
        if (complete) {
            return new StreamDecision.Drop(DropReason.AFTER_END);
        }
        if (abandoned || !id.equals(attempt)) {
            return new StreamDecision.Drop(DropReason.OTHER_REQUEST);
        }
        if (length > engineOffset) {
            return gap();
        }
        if (length < engineOffset) {
            // The engine lost the request and ran it again to another end; neither end can be trusted.
            return noting(silence.giveUp(textOffset()));
        }
        complete = true;
        return new StreamDecision.Complete();
    }

    /** Notes that the connection broke while the endpoint may be alive; resumes or gives the endpoint up. */
    public synchronized StreamDecision connectionLost() {
        if (complete) {
            return new StreamDecision.Drop(DropReason.AFTER_END);
        }
        if (abandoned) {
            return new StreamDecision.Drop(DropReason.OTHER_REQUEST);
        }
        return noting(silence.resume(engineOffset, textOffset()));
    }

    /**
     * Gives the current attempt up, for example because its endpoint died, and returns the length of the text so far. Its
     * chunks are dropped from now on: one more would make the text longer than the continuation's prompt.
     */
    public synchronized long abandon() {
        noting(silence.giveUp(textOffset()));
        return textOffset();
    }

    /** Moves to a new engine request elsewhere, whose prompt includes the text delivered so far. */
    public synchronized void continueAs(RequestId newAttempt) {
        if (newAttempt.equals(attempt)) {
            throw new IllegalArgumentException("attempt " + newAttempt + " is already the current one");
        }
        attempt = newAttempt;
        base += engineOffset;
        engineOffset = 0;
        resuming = false;
        abandoned = false;
        silence.restart();
    }

    /** Returns what is due now; to be asked again at the time that the decision names. */
    public synchronized StreamDecision tick() {
        return complete ? new StreamDecision.Idle(Long.MAX_VALUE) : noting(silence.tick(textOffset()));
    }

    /** Takes the reply to a probe. A reply that is too late to matter leads to no action. */
    public synchronized StreamDecision probeReply(long number, ProbeReply reply) {
        if (complete) {
            return new StreamDecision.Idle(Long.MAX_VALUE);
        }
        return noting(silence.reply(number, reply, engineOffset, textOffset()));
    }

    /** Notes that reading from the engine stopped because the caller is slow. */
    public synchronized void pause() {
        silence.pause();
    }

    /** Notes that reading from the engine goes on. */
    public synchronized void unpause() {
        silence.unpause();
    }

    private StreamDecision gap() {
        if (resuming) {
            // Chunks of the old connection that were on their way; the resume that is under way brings this text.
            return new StreamDecision.Drop(DropReason.AFTER_GAP);
        }
        return noting(silence.resume(engineOffset, textOffset()));
    }

    private StreamDecision noting(StreamDecision decision) {
        resuming |= decision instanceof StreamDecision.ResumeFrom;
        abandoned |= decision instanceof StreamDecision.ContinueElsewhere;
        return decision;
    }
}
