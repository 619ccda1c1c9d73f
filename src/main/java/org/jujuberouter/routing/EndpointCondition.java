package org.jujuberouter.routing;

/** Whether an endpoint may receive new requests. Only a serving endpoint may. */
public enum EndpointCondition {
    SERVING,
    /** Operators removed it or its failure domain from service. */
    DRAINED,
    /** It announced that it is about to stop. */
    LEAVING,
    /** It crashed, is unreachable or has nothing loaded that it should serve; its cache is assumed lost. */
    UNAVAILABLE
}
