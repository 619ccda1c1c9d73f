package org.jujuberouter.routing;

/** Whether an endpoint may get new work. Only a serving endpoint may. */
public enum EndpointCondition {
    SERVING,
    /** Operators took it out. */
    DRAINED,
    /** It announced that it is going to stop. */
    LEAVING,
    /** It crashed, is unreachable or holds nothing that it should serve; its cache is taken as lost. */
    UNAVAILABLE
}
