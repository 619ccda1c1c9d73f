package org.jujuberouter.id;

/**
 * Names a service that operators offer, such as an assistant or a ledger.
 *
 * @param value the text form, never blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Rejects a missing or blank value. */
    public ServiceName {
        IdRules.requireText("ServiceName", value);
    }

    /** Returns the id with the given text form. */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
