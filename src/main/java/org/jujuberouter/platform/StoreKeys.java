package org.jujuberouter.platform;

/** The keys of the platform's store. */
final class StoreKeys {
    /** The operator's configuration. */
    static final String CONFIGURATION = "op/config";

    /** Start of the keys that take a failure domain out; its name follows. */
    static final String EVACUATIONS = "op/evacuate/";

    /** Start of the registrations of endpoints; the endpoint's id follows. */
    static final String ENDPOINTS = "servers/";

    /** Start of the announcements of instances; the instance's id follows. */
    static final String INSTANCES = "instances/";

    private StoreKeys() {}
}
