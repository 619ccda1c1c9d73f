package org.jujuberouter.routing;

/** A request that this instance sent to an endpoint; counted as load until a newer load report includes it. */
public interface SentRequest {
    /** Records that the first token arrived, so the prompt is no longer pending. */
    void prefilled();

    /** Records that the request ended, successfully or not. */
    void ended();
}
