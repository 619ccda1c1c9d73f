package org.jujuberouter.store;

import java.util.List;

/** The platform's list of live and leaving instances and endpoints, which is eventually consistent. */
@FunctionalInterface
public interface MemberList {
    /** Returns the current list, which can be out of date. */
    List<ListedMember> read() throws PlatformException;
}
