package org.jujuberouter.ownership;

import java.util.List;
import java.util.Optional;
import org.jujuberouter.id.InstanceId;

/** What an instance may do with an endpoint at this moment. */
public sealed interface OwnershipStatus {
    /**
     * Another instance admits for the endpoint, or none does yet.
     *
     * @param hint the instance to ask instead, if one is known
     */
    record NotOwner(Optional<InstanceId> hint) implements OwnershipStatus {}

    /**
     * This instance admits for the endpoint.
     *
     * @param fence the fencing number for permits and orders
     * @param lapsed whether the lease has run out by the local clock
     * @param predecessors earlier owners that may still grant their lapsed share
     */
    record Owner(long fence, boolean lapsed, List<Predecessor> predecessors) implements OwnershipStatus {
        /** Returns the part of a bound that is set aside for predecessors, whatever they really use. */
        public long reserved(long bound) {
            long sum = 0;
            for (Predecessor predecessor : predecessors) {
                sum += predecessor.setAside(bound);
            }
            return Math.min(bound, sum);
        }

        /** Returns the part of a bound that may be permitted and not yet known to be sent: the lapsed share. */
        public long unsent(long bound) {
            return Predecessor.lapsed(Predecessor.share(bound, predecessors));
        }

        /** Returns the part of a bound that this owner may use: its share, or three quarters of it once lapsed. */
        public long usable(long bound) {
            long share = Predecessor.share(bound, predecessors);
            return lapsed ? Predecessor.lapsed(share) : share;
        }

        /**
         * Tells whether rules of at most one per endpoint can be kept.
         *
         * <p>Of several owners only the first of the chain, which counts no predecessor, may grant what must be alone.
         */
        public boolean exclusive() {
            return predecessors.isEmpty();
        }
    }
}
