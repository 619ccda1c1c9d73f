package org.jujuberouter.admission;

import org.jujuberouter.misc.Ticker;

/**
 * The holder's side of one permit request.
 *
 * <p>The validity of a permit is measured from the holder's latest request, on the holder's clock. A reply that was
 * delayed by the network or by a pause of the owner is therefore not used late, and the two clocks need not agree.
 */
public final class PermitClaim {
    private final Ticker ticker;
    private final PermitRequest request;
    private boolean requested;
    private boolean sent;
    private boolean closed;
    private long requestedAtNanos;

    private PermitClaim(Ticker ticker, PermitRequest request) {
        this.ticker = ticker;
        this.request = request;
    }

    /** Returns a claim for which no permit has been requested yet. */
    public static PermitClaim of(Ticker ticker, PermitRequest request) {
        return new PermitClaim(ticker, request);
    }

    /** Returns the request. */
    public PermitRequest request() {
        return request;
    }

    /**
     * Records that the request is about to be sent to the owner. Call it every {@link Permit#RETRY_PERIOD} until a
     * decision arrives.
     *
     * @return false if the claim is closed or the deadline has passed
     */
    public synchronized boolean recordRequest() {
        long now = ticker.nanos();
        if (closed || now - request.deadlineNanos() >= 0) {
            return false;
        }
        requested = true;
        requestedAtNanos = now;
        return true;
    }

    /** Decides whether to use a permit that arrived; to be called right before the first byte is sent. */
    public synchronized Use use(Permit permit) {
        if (sent) {
            return Use.IGNORE;
        }
        boolean matches = requested && permit.id().equals(request.id());
        if (closed || !matches || ticker.nanos() - requestedAtNanos >= Permit.VALIDITY.toNanos()) {
            return Use.RELEASE;
        }
        sent = true;
        closed = true;
        return Use.SEND;
    }

    /** Closes the claim; permits that arrive later are released. */
    public synchronized void withdraw() {
        closed = true;
    }

    /** What to do with a permit. */
    public enum Use {
        /** Send the request now. */
        SEND,
        /** Release the permit as {@link PermitEnd#NOT_SENT}: it arrived too late or is no longer needed. */
        RELEASE,
        /**
         * Do nothing: the request was sent under an earlier grant, and a release would free the capacity it is using.
         */
        IGNORE
    }
}
