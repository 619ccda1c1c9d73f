package org.jujuberouter.id;

/**
 * One run of an instance, from process start to exit. Each restart of the instance gets a higher number.
 *
 * @param instance the instance
 * @param number the store revision of the instance's registration, which increases with every start
 */
public record Incarnation(InstanceId instance, long number) {
    /** Returns the incarnation of an instance with the given number. */
    public static Incarnation of(InstanceId instance, long number) {
        return new Incarnation(instance, number);
    }

    /** Returns whether this is a later run of the same instance; false if the instances differ. */
    public boolean isAfter(Incarnation other) {
        return instance.equals(other.instance) && number > other.number;
    }

    @Override
    public String toString() {
        return instance + "#" + number;
    }
}
