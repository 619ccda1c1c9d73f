package org.jujuberouter.store;

/**
 * One row of the platform's list.
 *
 * @param name the id of the instance or endpoint
 * @param role what runs there
 * @param service the service that an endpoint belongs to; empty for an instance
 * @param address host and port, such as 10.0.0.7:8400
 * @param domain the failure domain
 * @param state whether it is live or leaving
 */
public record ListedMember(String name, Role role, String service, String address, String domain, State state) {
    /** What a listed process is. */
    public enum Role {
        INSTANCE,
        ENGINE,
        PLAIN
    }

    /** Whether new work may go there. */
    public enum State {
        LIVE,
        LEAVING
    }
}
