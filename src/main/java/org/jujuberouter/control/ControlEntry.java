package org.jujuberouter.control;

import java.net.InetSocketAddress;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;

/** What one key of the store says. */
public sealed interface ControlEntry {
    /** The operator's configuration. */
    record Configuration(Catalog catalog) implements ControlEntry {}

    /** A registered endpoint. */
    record EndpointRegistration(Endpoint endpoint) implements ControlEntry {}

    /** The operator's wish that a failure domain gets no new work. */
    record Evacuation(FailureDomain domain) implements ControlEntry {}

    /** A live instance and where its peers reach it. */
    record Peer(InstanceId instance, InetSocketAddress address) implements ControlEntry {}

    /** A value that cannot be read or names nothing to use. */
    record Unreadable(String reason) implements ControlEntry {}
}
