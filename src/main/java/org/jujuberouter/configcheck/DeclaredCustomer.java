package org.jujuberouter.configcheck;

import java.util.List;
import org.jujuberouter.catalog.Customer;

/**
 * A customer as declared in the document.
 *
 * @param customer the customer
 * @param keys its API keys in the order of the document, also those that are not valid
 */
public record DeclaredCustomer(Customer customer, List<String> keys) {
    /** Copies the list. */
    public DeclaredCustomer {
        keys = List.copyOf(keys);
    }

    /** Returns whether a call can carry one of the keys; white space around the key of a call is removed. */
    boolean hasUsableKey() {
        return keys.stream().anyMatch(k -> !k.isBlank() && k.equals(k.strip()));
    }
}
