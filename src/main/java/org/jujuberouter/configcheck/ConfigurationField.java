package org.jujuberouter.configcheck;

/** Fields of a configuration to which a check can point. */
public enum ConfigurationField {
    VERSION,
    CUSTOMERS,
    NAME,
    HOST,
    PREFIX,
    TIMEOUT,
    OBJECTIVE,
    GAP_OBJECTIVE,
    TARGETS,
    COLD_RATE,
    API_KEYS,
    MAX_BODY
}
