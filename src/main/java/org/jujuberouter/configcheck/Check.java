package org.jujuberouter.configcheck;

import java.util.function.Consumer;

/** A check of a whole configuration. */
interface Check {
    void run(CheckedConfiguration configuration, Consumer<Finding> findings);
}
