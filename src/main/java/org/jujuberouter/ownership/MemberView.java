package org.jujuberouter.ownership;

import java.util.Collection;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;

/** What ownership needs to know about the other instances. */
public interface MemberView {
    /** Returns the live instances that may own the endpoint, those of its region. */
    Collection<InstanceId> candidates(EndpointId endpoint);

    /** Returns how long the set of live instances has been the same. */
    long stableNanos();

    /** Returns for how long the platform's list has shown the instance gone; 0 while it is listed or heard from. */
    long absentNanos(InstanceId instance);
}
