package org.jujuberouter.gateway;

import org.jujuberouter.dispatch.DomainMode;
import org.jujuberouter.dispatch.DomainPolicy;
import org.jujuberouter.dispatch.QueueMode;
import org.jujuberouter.id.FailureDomain;

/**
 * Features that a setting of the process turns on.
 *
 * @param domainMode how placement takes failure domains into account
 * @param fairSharing whether calls of customers above their fair share wait behind those of others
 * @param autoscaling whether the leader orders engines, where the platform has that duty
 * @param overload whether an instance that lags rejects calls and stops reporting ready
 * @param reservations whether engines are kept for the largest prompts that wait
 */
public record OptionalFeatures(
        DomainMode domainMode, boolean fairSharing, boolean autoscaling, boolean overload, boolean reservations) {
    /** Returns the features of an instance without such settings. */
    public static OptionalFeatures none() {
        return new OptionalFeatures(DomainMode.ANY, false, false, false, false);
    }

    /** Returns the policy of an instance in the given domain. */
    DomainPolicy domainPolicy(FailureDomain home) {
        return DomainPolicy.of(home, domainMode);
    }

    /** Returns how calls wait for which there is no place. */
    QueueMode queueMode() {
        return reservations ? QueueMode.RESERVED : QueueMode.PREDICTED;
    }
}
