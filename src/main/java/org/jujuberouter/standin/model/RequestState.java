package org.jujuberouter.standin.model;

/** The states of a request, an export or a reservation in an engine. */
public enum RequestState {
    /** Waits for a place in the batch and holds no KV memory. */
    WAITING,
    /** Its prompt is being processed. */
    PREFILL,
    /** Its answer is being generated. */
    DECODING,
    /** Its answer is complete; the bytes that are not acknowledged count as held. */
    COMPLETED,
    /** Stopped by an export; its KV memory is held until the request is cancelled. */
    EXPORTED,
    /** KV memory is reserved for an import. */
    RESERVED
}
