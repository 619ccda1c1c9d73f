package org.jujuberouter.catalog;

import java.util.Map;
import java.util.Optional;

/**
 * The API keys of one version of the configuration.
 *
 * <p>Whether calls need a key does not follow from the number of keys: a configuration whose last key was revoked still
 * requires one, and then no call is accepted.
 */
public final class ApiKeys {
    private static final ApiKeys NOT_REQUIRED = new ApiKeys(false, Map.of());

    private final boolean required;
    private final Map<String, Customer> customers;

    private ApiKeys(boolean required, Map<String, Customer> customers) {
        this.required = required;
        this.customers = Map.copyOf(customers);
    }

    /** Returns the keys of a configuration that declares no customers, so that calls need none. */
    public static ApiKeys notRequired() {
        return NOT_REQUIRED;
    }

    /** Returns the keys of a configuration that declares customers, possibly without any key. */
    public static ApiKeys required(Map<String, Customer> customersByKey) {
        return new ApiKeys(true, customersByKey);
    }

    /** Returns whether calls need an API key, unless their route is public. */
    public boolean isRequired() {
        return required;
    }

    /** Returns the customer to which the API key belongs. */
    public Optional<Customer> customer(String apiKey) {
        return Optional.ofNullable(customers.get(apiKey));
    }
}
