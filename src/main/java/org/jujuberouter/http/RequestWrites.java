package org.jujuberouter.http;

import java.util.function.Consumer;

/** Observes how long requests take to be written. */
@FunctionalInterface
public interface RequestWrites {
    /** Called when a body of the given size begins to be written; the result receives whether it was written whole. */
    Consumer<Boolean> begin(long bytes);
}
