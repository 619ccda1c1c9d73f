package org.jujuberouter.admission;

/**
 * How far an endpoint's ramp has come, for the next owner.
 *
 * @param boot the boot number of the endpoint's life that the level belongs to; 0 when it does not tell
 * @param slots the bound in slots that was reached
 */
public record RampLevel(long boot, long slots) {
    /** The level of an endpoint of which nothing is known. */
    public static final RampLevel NONE = new RampLevel(0, 0);
}
