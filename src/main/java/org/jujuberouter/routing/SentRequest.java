package org.jujuberouter.routing;

/** Work that this instance sent to an endpoint; it corrects load reports that are older than the work. */
public interface SentRequest {
    /** The first token arrived: the prompt is no longer waiting. */
    void prefilled();

    /** The request ended in whatever way. */
    void ended();
}
