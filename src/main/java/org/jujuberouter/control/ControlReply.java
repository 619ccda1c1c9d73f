package org.jujuberouter.control;

import java.util.List;
import org.jujuberouter.id.StorePosition;

/** The outcome of reading or watching the store. */
public sealed interface ControlReply {
    /**
     * The store returned its content or the changes to it.
     *
     * @param events the current entries, or the changes in the order of their positions
     * @param position the position of the store after which to continue watching
     */
    record Success(List<ControlEvent> events, StorePosition position) implements ControlReply {
        public Success {
            events = List.copyOf(events);
        }
    }

    /**
     * The store does not have the changes since the requested position: it has compacted its history, or it was restored
     * from a copy.
     */
    record Compacted() implements ControlReply {}

    /** A request that was not served. */
    sealed interface Failure extends ControlReply {
        /** Returns the explanation for the log. */
        String reason();
    }

    /** The store stated that it does not serve this instance. */
    record Refused(String reason) implements Failure {}

    /** No answer came, or one that says nothing of whether the store serves: only a connection may have failed. */
    record Inconclusive(String reason) implements Failure {}
}
