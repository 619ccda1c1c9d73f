package org.jujuberouter.quarantine;

import java.time.Duration;
import java.util.List;
import org.jujuberouter.id.Fingerprint;

/**
 * A request that was in flight at two crashes, to be written to the store with a lease of {@link CrashEvidence#EXPIRY} so
 * that instances that start later know it.
 *
 * @param fingerprint the request
 * @param crashes the crashes that count against it, each with this fingerprint alone
 */
public record Conviction(Fingerprint fingerprint, List<CrashNotice> crashes) {
    /** Copies the list. */
    public Conviction {
        crashes = List.copyOf(crashes);
    }

    /** Returns the key in the store. */
    public String storeKey() {
        return "quarantine/" + fingerprint;
    }

    /** Returns the time after which it no longer counts, from now. */
    public Duration remaining() {
        Duration oldest =
                crashes.stream().map(CrashNotice::age).max(Duration::compareTo).orElse(Duration.ZERO);
        Duration left = CrashEvidence.EXPIRY.minus(oldest);
        return left.isNegative() ? Duration.ZERO : left;
    }
}
