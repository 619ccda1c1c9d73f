package org.jujuberouter.orders;

import java.time.Duration;

/** What the present owner of one endpoint knows about orders to it; forgotten with the ownership. */
final class LoadProgress {
    /** How long permits that were granted before a drain may still bring work: their life and a margin. */
    static final Duration DRAIN = Duration.ofMillis(1250);

    /**
     * How long an order may show no effect before it is repeated, and how long a new owner watches before it orders.
     *
     * <p>It is above the timeout of a call to an engine and two report periods.
     */
    static final Duration QUIET = Duration.ofSeconds(5);

    /** How long an accepted order may take; an engine that needs more is taken for one that forgot it. */
    static final Duration LOAD_LIMIT = Duration.ofMinutes(15);

    /** How long a loaded engine stays counted as out of service, so that all instances know its new content. */
    static final Duration SETTLE = Duration.ofSeconds(5);

    final long fence;
    final long since;

    /** Whether this owner began the load itself, so that it knows that no order was sent before. */
    boolean own;

    /** Whether this owner has seen the load in the store and drains the endpoint for it. */
    boolean tracked;

    boolean sent;
    boolean accepted;
    long sentAt;
    long sentBoot;
    int attempts;
    boolean loaded;
    long loadedSince;
    boolean blocked;
    long roleSentAt;
    boolean roleSent;

    LoadProgress(long fence, long since) {
        this.fence = fence;
        this.since = since;
    }

    /** Returns a progress that starts now with a load that this owner begins. */
    static LoadProgress ofOwnLoad(LoadProgress before, long now) {
        LoadProgress progress = ofFoundLoad(before, now);
        progress.own = true;
        return progress;
    }

    /** Returns a progress that starts now with a load that another owner, or a write without an answer, began. */
    static LoadProgress ofFoundLoad(LoadProgress before, long now) {
        LoadProgress progress = new LoadProgress(before.fence, now);
        progress.tracked = true;
        progress.blocked = before.blocked;
        progress.roleSent = before.roleSent;
        progress.roleSentAt = before.roleSentAt;
        return progress;
    }

    void sent(long now, long boot) {
        sent = true;
        accepted = false;
        sentAt = now;
        sentBoot = boot;
        attempts++;
    }

    /** Tells whether a report that was asked for at the given time shows that an order is due. */
    boolean due(long asked, long boot) {
        // A change of role that is still on its way may not cross the load.
        if (blocked || roleSent && asked - roleSentAt < QUIET.toNanos()) {
            return false;
        }
        if (!sent) {
            return asked - since >= (own ? DRAIN : QUIET).toNanos();
        }
        if (accepted && boot == sentBoot && asked - sentAt < LOAD_LIMIT.toNanos()) {
            return false;
        }
        return asked - sentAt >= QUIET.toNanos();
    }
}
