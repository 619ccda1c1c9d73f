package org.jujuberouter.catalog;

import java.util.OptionalInt;
import org.jujuberouter.id.CustomerId;

/**
 * A customer as configured by the operator.
 *
 * @param id the id of the customer
 * @param priority priority of its calls, which overrides that of the route; empty if none is declared
 */
public record Customer(CustomerId id, OptionalInt priority) {}
