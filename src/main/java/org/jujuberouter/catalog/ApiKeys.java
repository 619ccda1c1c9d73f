package org.jujuberouter.catalog;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The API keys of one version of the configuration.
 *
 * <p>Whether calls need a key does not follow from the number of keys: a configuration whose last key was revoked still
 * requires one, and then no call is accepted.
 */
public final class ApiKeys {
    private static final ApiKeys NOT_REQUIRED = new ApiKeys(false, Map.of(), Set.of());

    private final boolean required;
    private final Map<String, Customer> customers;
    private final Set<String> withdrawn;

    private ApiKeys(boolean required, Map<String, Customer> customers, Set<String> withdrawn) {
        this.required = required;
        this.customers = Map.copyOf(customers);
        this.withdrawn = Set.copyOf(withdrawn);
    }

    /** Returns the keys of a configuration that declares no customers, so that calls need none. */
    public static ApiKeys notRequired() {
        return NOT_REQUIRED;
    }

    /** Returns the keys of a configuration that declares customers, possibly without any key. */
    public static ApiKeys required(Map<String, Customer> customersByKey) {
        return new ApiKeys(true, customersByKey, Set.of());
    }

    /**
     * Returns these keys as the successors of those of the version before, whose keys are withdrawn unless they are still
     * there. This matters when a version declares no customers any more: calls then need no key, but one that carries a
     * withdrawn key is still refused.
     */
    public ApiKeys succeeding(ApiKeys previous) {
        Set<String> gone = new HashSet<>(previous.withdrawn);
        gone.addAll(previous.customers.keySet());
        gone.removeAll(customers.keySet());
        return new ApiKeys(required, customers, gone);
    }

    /** Returns whether an earlier version held the API key and this one does not. */
    public boolean isWithdrawn(String apiKey) {
        return withdrawn.contains(apiKey);
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
