package org.jujuberouter.entry;

import java.util.List;
import java.util.Optional;
import org.jujuberouter.platform.ListedMember;

/** The endpoints that the platform's list showed last; it is replaced as a whole, so readers need no lock. */
final class EndpointDirectory {
    private volatile List<ListedMember> members = List.of();

    private EndpointDirectory() {}

    static EndpointDirectory empty() {
        return new EndpointDirectory();
    }

    void replace(List<ListedMember> listed) {
        members = List.copyOf(listed);
    }

    List<ListedMember> all() {
        return members;
    }

    List<ListedMember> endpoints(ListedMember.Role role) {
        return members.stream().filter(m -> m.role() == role).toList();
    }

    List<ListedMember> endpointsOf(String service) {
        return members.stream()
                .filter(m ->
                        m.role() != ListedMember.Role.INSTANCE && m.service().equals(service))
                .toList();
    }

    Optional<ListedMember> byName(String name) {
        return members.stream().filter(m -> m.name().equals(name)).findFirst();
    }
}
