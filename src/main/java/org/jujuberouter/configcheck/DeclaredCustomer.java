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
}
