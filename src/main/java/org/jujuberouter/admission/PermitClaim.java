package org.jujuberouter.admission;

import org.jujuberouter.misc.Ticker;

/**
 * The holder's side of one permit request.
 *
 * <p>The life of a permit counts from the holder's latest ask, on the holder's clock. A reply that was delayed by the
 * network or by a pause of the owner is therefore not used, and the two clocks need not agree.
 */
public final class PermitClaim {
    private final Ticker ticker;
    private final PermitRequest request;
    private boolean asked;
    private boolean begun;
    private boolean over;
    private long askedAt;

    private PermitClaim(Ticker ticker, PermitRequest request) {
        this.ticker = ticker;
        this.request = request;
    }

    /** Returns a claim that has not asked yet. */
    public static PermitClaim of(Ticker ticker, PermitRequest request) {
        return new PermitClaim(ticker, request);
    }

    /** Returns the request. */
    public PermitRequest request() {
        return request;
    }

    /**
     * Notes that the owner is about to be asked; to be repeated every {@link Permit#RETRY_PERIOD} while there is no answer.
     *
     * @return false when asking is of no use any more
     */
    public synchronized boolean ask() {
        long now = ticker.nanos();
        if (over || now - request.deadlineNanos() >= 0) {
            return false;
        }
        asked = true;
        askedAt = now;
        return true;
    }

    /** Decides what to do with a permit that arrived; to be called right before the first byte would be sent. */
    public synchronized Use use(Permit permit) {
        if (begun) {
            return Use.IGNORE;
        }
        boolean mine = asked && permit.id().equals(request.id());
        if (over || !mine || ticker.nanos() - askedAt >= Permit.VALIDITY.toNanos()) {
            return Use.RELEASE;
        }
        begun = true;
        over = true;
        return Use.SEND;
    }

    /** Gives up; permits that arrive later are not used. */
    public synchronized void withdraw() {
        over = true;
    }

    /** What to do with a permit. */
    public enum Use {
        /** Send the request now. */
        SEND,
        /** Release the permit as {@link PermitEnd#NOT_SENT}: it came too late or is not wanted any more. */
        RELEASE,
        /** Do nothing: the request was sent under an earlier grant, and a release would free work that runs. */
        IGNORE
    }
}
