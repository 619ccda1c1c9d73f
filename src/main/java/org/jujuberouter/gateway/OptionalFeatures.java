package org.jujuberouter.gateway;

import org.jujuberouter.dispatch.DomainMode;

/**
 * Features that a setting of the process turns on.
 *
 * @param domainMode how placement takes failure domains into account
 * @param fairSharing whether calls of customers above their fair share wait behind those of others
 * @param autoscaling whether the leader orders engines, where the platform has that duty
 * @param reservations whether engines are kept for the largest prompts that wait
 */
public record OptionalFeatures(DomainMode domainMode, boolean fairSharing, boolean autoscaling, boolean reservations) {
    /** Returns the features of an instance without such settings. */
    public static OptionalFeatures none() {
        return new OptionalFeatures(DomainMode.ANY, false, false, false);
    }
}
