package org.jujuberouter.gateway;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jujuberouter.duty.DutyResult;
import org.jujuberouter.duty.DutyTerm;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;

/** The calls to the platform's API that only the leader may make; each is sent at most once. */
public interface DutyCalls {
    /**
     * Reports the counts of a window.
     *
     * @param maySend asked immediately before the call is sent
     */
    void reportUsage(
            DutyTerm term,
            long window,
            Map<CustomerId, Long> counts,
            BooleanSupplier maySend,
            Consumer<DutyResult> listener);

    /**
     * Orders the number of engines of a service in a failure domain.
     *
     * @param maySend asked immediately before the call is sent
     */
    void orderEngines(
            DutyTerm term,
            ServiceName service,
            FailureDomain domain,
            int count,
            BooleanSupplier maySend,
            Consumer<DutyResult> listener);
}
