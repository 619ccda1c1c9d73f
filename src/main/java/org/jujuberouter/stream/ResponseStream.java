package org.jujuberouter.stream;

import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;

/**
 * Assembles the response to one caller from chunks that may be late, reordered, repeated or missing.
 *
 * <p>Each chunk carries the id of the engine request and its offset within that request. Only characters that directly
 * follow the delivered text are passed on: chunks with another id are dropped, chunks with a lower offset are trimmed
 * or dropped, and a higher offset is a gap that forces a resume. The end is accepted only at the exact length. The
 * connection on which a chunk arrived is irrelevant.
 *
 * <p>When the response continues at another endpoint, the offsets of the new engine request start at 0 again; the text
 * delivered so far is part of its prompt.
 *
 * <p>Offsets count characters (UTF-16 code units); the text itself is not stored. Thread-safe: the reader of the
 * connection, the timer and the writer to the caller report to the same stream.
 */
public final class ResponseStream {
    private final StallDetector stallDetector;
    private RequestId attempt;
    private long deliveredBefore;
    private long engineOffset;
    private boolean resuming;
    private boolean abandoned;
    private boolean complete;

    private ResponseStream(RequestId attempt, Ticker ticker) {
        this.attempt = attempt;
        this.stallDetector = new StallDetector(ticker);
    }

    /**
     * Returns a stream without text; to be opened when the request has been sent.
     *
     * @param attempt the id under which the request was sent to the engine, different for each attempt
     */
    public static ResponseStream open(RequestId attempt, Ticker ticker) {
        return new ResponseStream(attempt, ticker);
    }

    /** Returns the length of the text delivered so far, over all engine requests. */
    public synchronized long textOffset() {
        return deliveredBefore + engineOffset;
    }

    /** Returns the length of the text delivered from the current engine request: the offset from which to resume it. */
    public synchronized long engineOffset() {
        return engineOffset;
    }

    /** Handles a chunk. */
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
        stallDetector.progress();
        return new StreamDecision.Deliver((int) skip);
    }

    /**
     * Handles the end marker of an engine request.
     *
     * @param length the length of the complete text that the engine generated for it
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
            // The engine lost the request and reran it with another result, so neither text can be trusted.
            return track(stallDetector.abandon(textOffset()));
        }
        complete = true;
        return new StreamDecision.Complete();
    }

    /** Handles a broken connection to an endpoint that may be alive: resumes or abandons the endpoint. */
    public synchronized StreamDecision connectionLost() {
        if (complete) {
            return new StreamDecision.Drop(DropReason.AFTER_END);
        }
        if (abandoned) {
            return new StreamDecision.Drop(DropReason.OTHER_REQUEST);
        }
        return track(stallDetector.resume(engineOffset, textOffset()));
    }

    /**
     * Abandons the current attempt, for example because its endpoint died, and returns the length of the text so far.
     * Further chunks of it are dropped, since they would make the delivered text longer than the text in the
     * continuation's prompt.
     */
    public synchronized long abandon() {
        track(stallDetector.abandon(textOffset()));
        return textOffset();
    }

    /** Switches to a new engine request at another endpoint, whose prompt includes the text delivered so far. */
    public synchronized void continueAs(RequestId newAttempt) {
        if (newAttempt.equals(attempt)) {
            throw new IllegalArgumentException("attempt " + newAttempt + " is already the current one");
        }
        attempt = newAttempt;
        deliveredBefore += engineOffset;
        engineOffset = 0;
        resuming = false;
        abandoned = false;
        stallDetector.restart();
    }

    /** Returns the decision that is due now; to be called again at the time that the decision states. */
    public synchronized StreamDecision tick() {
        return complete ? new StreamDecision.Idle(Long.MAX_VALUE) : track(stallDetector.tick(textOffset()));
    }

    /** Handles the reply to a probe. An outdated reply leads to no action. */
    public synchronized StreamDecision probeReply(long number, ProbeReply reply) {
        if (complete) {
            return new StreamDecision.Idle(Long.MAX_VALUE);
        }
        return track(stallDetector.reply(number, reply, engineOffset, textOffset()));
    }

    /** Suspends stall detection because reading from the engine paused for a slow caller. */
    public synchronized void pause() {
        stallDetector.pause();
    }

    /** Resumes stall detection because reading from the engine continues. */
    public synchronized void unpause() {
        stallDetector.unpause();
    }

    private StreamDecision gap() {
        if (resuming) {
            // The chunk was in flight on the old connection; the resume in progress delivers its text again.
            return new StreamDecision.Drop(DropReason.AFTER_GAP);
        }
        return track(stallDetector.resume(engineOffset, textOffset()));
    }

    private StreamDecision track(StreamDecision decision) {
        resuming |= decision instanceof StreamDecision.ResumeFrom;
        abandoned |= decision instanceof StreamDecision.ContinueElsewhere;
        return decision;
    }
}
