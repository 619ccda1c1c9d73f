package org.jujuberouter.control;

import java.net.InetSocketAddress;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;

/** What one key of the store says. */
public sealed interface ControlFact {
    /** The operator's configuration. */
    record Configuration(Catalog catalog) implements ControlFact {}

    /** A registered endpoint. */
    record Registration(Endpoint endpoint) implements ControlFact {}

    /** The operator's wish that a failure domain gets no new work. */
    record Evacuation(FailureDomain domain) implements ControlFact {}

    /** A live instance and where its peers reach it. */
    record Peer(InstanceId instance, InetSocketAddress address) implements ControlFact {}

    /** A value that cannot be read or names nothing to use. */
    record Unreadable(String reason) implements ControlFact {}
}
