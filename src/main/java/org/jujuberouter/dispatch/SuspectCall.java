package org.jujuberouter.dispatch;

import java.util.List;
import org.jujuberouter.id.RequestTrait;

/**
 * A call that may have crashed the endpoint that ran it.
 *
 * @param traits the suspect parts of its prompt in order, then the whole request
 * @param sentMs how long before the crash it was sent to the endpoint, in milliseconds
 */
public record SuspectCall(List<RequestTrait> traits, long sentMs) {
    /** Assumed where the time is not known; few calls wait longer for their first event. */
    private static final long UNKNOWN_SENT_MS = 1_000;

    /** Copies the list. */
    public SuspectCall {
        traits = List.copyOf(traits);
    }

    /** Returns a suspect call. */
    public static SuspectCall of(List<RequestTrait> traits, long sentMs) {
        return new SuspectCall(traits, sentMs);
    }

    /** Returns a suspect call of which it is not known when it was sent. */
    public static SuspectCall ofUnknownTime(List<RequestTrait> traits) {
        return new SuspectCall(traits, UNKNOWN_SENT_MS);
    }

    /** Returns the trait that only copies of the same request have. */
    RequestTrait request() {
        return traits.getLast();
    }

    /** Returns the traits that different requests may have. */
    List<RequestTrait> parts() {
        return traits.subList(0, traits.size() - 1);
    }
}
