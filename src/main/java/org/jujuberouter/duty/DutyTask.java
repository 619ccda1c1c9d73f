package org.jujuberouter.duty;

import java.util.List;

/** Work that the leader does about once per second while it may act. */
@FunctionalInterface
public interface DutyTask {
    /**
     * Runs once.
     *
     * @param term the term of the leader; its token changes with each change of the leader
     * @param listedInstances number of instances that the store lists, including those that have not reported
     * @param demands the latest report of each instance
     */
    void run(DutyTerm term, int listedInstances, List<InstanceDemand> demands);

    /** Runs once after the end of a term. */
    default void termEnded() {}
}
