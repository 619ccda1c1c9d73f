package org.jujuberouter.ownership;

import java.util.Collection;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;

/** The membership information that {@link Ownership} depends on. */
public interface MemberView {
    /** Returns the live instances that may own the endpoint: those of its region. */
    Collection<InstanceId> candidates(EndpointId endpoint);

    /** Returns the time since the set of live instances last changed. */
    long stableNanos();

    /** Returns the time since the instance was last listed or heard from; 0 while it is listed. */
    long absentNanos(InstanceId instance);
}
