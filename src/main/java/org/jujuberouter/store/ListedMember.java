package org.jujuberouter.store;

/**
 * An entry of the platform's member list.
 *
 * @param name the identifier of the instance or endpoint
 * @param role the kind of process
 * @param service the service of an endpoint; empty for an instance
 * @param address the host and port, such as 10.0.0.7:8400
 * @param domain the failure domain
 * @param state whether the member is live or leaving
 */
public record ListedMember(String name, Role role, String service, String address, String domain, State state) {
    /** Kind of a listed process. */
    public enum Role {
        INSTANCE,
        ENGINE,
        PLAIN
    }

    /** State of a member; only live members receive new work. */
    public enum State {
        LIVE,
        LEAVING
    }
}
