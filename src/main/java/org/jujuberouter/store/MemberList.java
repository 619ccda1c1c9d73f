package org.jujuberouter.store;

import java.util.List;

/** The platform's list of live and leaving instances and endpoints; it lags behind the truth. */
@FunctionalInterface
public interface MemberList {
    /** Returns the list as the platform sees it now. */
    List<ListedMember> read() throws PlatformException;
}
