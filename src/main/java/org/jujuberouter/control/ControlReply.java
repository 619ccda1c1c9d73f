package org.jujuberouter.control;

import java.util.List;

/** The outcome of reading or watching the store. */
public sealed interface ControlReply {
    /**
     * The store returned its content or the changes to it.
     *
     * @param events the current entries, or the changes in the order of their revisions
     * @param revision the revision of the store after which to continue watching
     */
    record Success(List<ControlEvent> events, long revision) implements ControlReply {
        public Success {
            events = List.copyOf(events);
        }
    }

    /** The store has compacted its history and no longer has the changes since the requested revision. */
    record Compacted() implements ControlReply {}

    /** The store did not answer, or rejected the request. */
    record Failed(String reason) implements ControlReply {}
}
