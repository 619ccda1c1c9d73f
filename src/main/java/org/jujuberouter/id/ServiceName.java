package org.jujuberouter.id;

/**
 * Name of a service configured by operators, such as an assistant or a ledger.
 *
 * @param value the string form; not blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Throws {@link IllegalArgumentException} if the value is null or blank. */
    public ServiceName {
        IdValidation.requireNonBlank("ServiceName", value);
    }

    /** Returns the service name with the given string form. */
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
