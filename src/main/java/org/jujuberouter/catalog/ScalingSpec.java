package org.jujuberouter.catalog;

/**
 * The bounds within which the number of engines of a service may be changed.
 *
 * @param min minimum number of engines per failure domain
 * @param max maximum number of engines per failure domain
 * @param bootTimeMs time from an order until a new engine serves, in milliseconds
 */
public record ScalingSpec(int min, int max, long bootTimeMs) {
    /** Throws {@link IllegalArgumentException} if the bounds contradict each other or a value is out of range. */
    public ScalingSpec {
        if (min < 0 || max < 1 || min > max) {
            throw new IllegalArgumentException(
                    "min " + min + " and max " + max + " must meet 0 <= min <= max, max > 0");
        }
        if (bootTimeMs <= 0) {
            throw new IllegalArgumentException("bootTimeMs must be positive: " + bootTimeMs);
        }
    }
}
