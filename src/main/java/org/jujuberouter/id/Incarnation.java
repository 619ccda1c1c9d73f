package org.jujuberouter.id;

/**
 * Names one run of an instance; a restart of the same instance has a higher number.
 *
 * @param instance the instance
 * @param number increases with every start, taken from the store's revision of the registration
 */
public record Incarnation(InstanceId instance, long number) {
    /** Returns the incarnation with the given number. */
    public static Incarnation of(InstanceId instance, long number) {
        return new Incarnation(instance, number);
    }

    /** Tells whether this is a later run of the same instance. */
    public boolean isAfter(Incarnation other) {
        return instance.equals(other.instance) && number > other.number;
    }

    @Override
    public String toString() {
        return instance + "#" + number;
    }
}
