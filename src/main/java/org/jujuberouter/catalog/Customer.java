package org.jujuberouter.catalog;

import java.util.OptionalInt;
import org.jujuberouter.id.CustomerId;

/**
 * A customer that a key belongs to.
 *
 * @param id the customer
 * @param priority rank of its calls, which goes before that of a route; empty where none is declared
 */
public record Customer(CustomerId id, OptionalInt priority) {}
