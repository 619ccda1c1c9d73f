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

    /** Returns the time for which the instance has been neither listed nor heard from; 0 while it is either. */
    long absentNanos(InstanceId instance);
}
