package org.jujuberouter.configcheck;

import java.util.function.Consumer;

/** Lists the limits on requests that are changed. */
final class LimitsComparison implements Check {
    private final CheckedConfiguration inForce;

    LimitsComparison(CheckedConfiguration inForce) {
        this.inForce = inForce;
    }

    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        String changes = RecordDifference.of(
                inForce.limits().value(), configuration.limits().value());
        if (!changes.isEmpty()) {
            findings.accept(Finding.note(configuration.limits().location().path(), "", "limits changed: " + changes));
        }
    }
}
