package org.jujuberouter.standin.model;

/** The states of a request, an export or a reservation in an engine. */
public enum RequestState {
    /** Waits for a place in the batch and holds no memory. */
    WAITING,
    /** Its prompt is being processed. */
    PREFILL,
    /** Its answer is being generated. */
    DECODING,
    /** Its answer is complete; the unread part is held. */
    COMPLETED,
    /** Its memory is held for an import elsewhere. */
    EXPORTED,
    /** Memory is set aside for an import. */
    RESERVED
}
