package org.jujuberouter.control;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.id.StorePosition;

/** The decoded value of a key in the store. */
public sealed interface ControlEntry {
    /**
     * The configuration set by the operator.
     *
     * @param unreadable the entries that cannot be read, with the reasons; the rest is in force
     */
    record Configuration(Catalog catalog, List<String> unreadable) implements ControlEntry {
        /** Copies the list. */
        public Configuration {
            unreadable = List.copyOf(unreadable);
        }
    }

    /** The registration of an endpoint. */
    record EndpointRegistration(Endpoint endpoint) implements ControlEntry {}

    /** An operator's order to send no new calls to a failure domain. */
    record Evacuation(FailureDomain domain) implements ControlEntry {}

    /**
     * A live instance.
     *
     * @param address the address on which its peers connect to it
     * @param domain its failure domain; empty if the instance is of a build that does not register it
     */
    record Peer(InstanceId instance, InetSocketAddress address, Optional<FailureDomain> domain)
            implements ControlEntry {}

    /**
     * The crash of an endpoint.
     *
     * @param suspects the traits of each call that may have crashed it
     */
    record EndpointCrash(EndpointId endpoint, List<List<RequestTrait>> suspects) implements ControlEntry {
        /** Copies the list. */
        public EndpointCrash {
            suspects = List.copyOf(suspects);
        }
    }

    /** The quarantine of a trait whose requests crash endpoints. */
    record Quarantine(RequestTrait trait) implements ControlEntry {}

    /**
     * The instance that makes the calls that only one instance at a time may make.
     *
     * @param position the position at which the key was created, whose revision is the token of its calls
     */
    record DutyHolder(InstanceId instance, StorePosition position) implements ControlEntry {}

    /** The committed counts of executed requests per customer in one window. */
    record UsageWindow(long window, Map<CustomerId, Long> counts) implements ControlEntry {
        /** Copies the map. */
        public UsageWindow {
            counts = Map.copyOf(counts);
        }
    }

    /** A value that cannot be decoded or has an unsupported key. */
    record Unreadable(String reason) implements ControlEntry {}
}
