package org.jujuberouter.ownership;

import java.util.List;
import java.util.Optional;
import org.jujuberouter.id.InstanceId;

/** Whether this instance owns an endpoint, and which part of its bounds it may use. */
public sealed interface OwnershipStatus {
    /**
     * This instance does not admit requests for the endpoint; another one does, or none does yet.
     *
     * @param hint the instance that is believed to be the owner, if any
     */
    record NotOwner(Optional<InstanceId> hint) implements OwnershipStatus {}

    /**
     * This instance admits requests for the endpoint.
     *
     * @param fence the fencing number for permits and orders
     * @param lapsed whether the lease has expired by the local clock
     * @param predecessors earlier owners that may still grant permits from their lapsed share
     */
    record Owner(long fence, boolean lapsed, List<Predecessor> predecessors) implements OwnershipStatus {
        /** Returns the part of a bound that is reserved for predecessors, however little they use. */
        public long reserved(long bound) {
            long sum = 0;
            for (Predecessor predecessor : predecessors) {
                sum += predecessor.reservation(bound);
            }
            return Math.min(bound, sum);
        }

        /** Returns the part of a bound that may be permitted without being known to be sent: the lapsed share. */
        public long unsent(long bound) {
            return Predecessor.lapsedShare(Predecessor.share(bound, predecessors));
        }

        /** Returns the part of a bound that this owner may use: its share, or three quarters of it after a lapse. */
        public long usable(long bound) {
            long share = Predecessor.share(bound, predecessors);
            return lapsed ? Predecessor.lapsedShare(share) : share;
        }

        /**
         * Returns whether this owner may grant what can exist only once for an endpoint, such as an order to its
         * engine.
         *
         * <p>Of several possible owners, only the first of the chain, which has no predecessor, may do so.
         */
        public boolean exclusive() {
            return predecessors.isEmpty();
        }
    }
}
