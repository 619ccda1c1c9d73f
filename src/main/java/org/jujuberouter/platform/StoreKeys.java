package org.jujuberouter.platform;

/** Keys and key prefixes in the platform's store. */
final class StoreKeys {
    /** The operator's configuration. */
    static final String CONFIGURATION = "op/config";

    /** Prefix of the keys that take a failure domain out of service; followed by the domain's name. */
    static final String EVACUATIONS = "op/evacuate/";

    /** Prefix of endpoint registrations; followed by the endpoint's id. */
    static final String ENDPOINTS = "servers/";

    /** Prefix of instance registrations; followed by the instance's id. */
    static final String INSTANCES = "instances/";

    /** Prefix of the quarantines of traits whose requests crash endpoints; followed by the trait. */
    static final String QUARANTINE = "quarantine/";

    /** Prefix of crashes of endpoints; followed by the endpoint's id, a slash and the id of the reporting instance. */
    static final String CRASHES = "crashes/";

    /** The instance that holds the duties. */
    static final String DUTY_HOLDER = "duties/holder";

    /** Prefix of the committed usage reports; followed by the number of the window. */
    static final String USAGE_WINDOWS = "duties/usage/";

    private StoreKeys() {}
}
