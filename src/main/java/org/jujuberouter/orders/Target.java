package org.jujuberouter.orders;

/**
 * What an engine should be.
 *
 * @param content what it should have loaded
 * @param role its role
 */
public record Target(Content content, Role role) {
    /** Returns the target. */
    public static Target of(Content content, Role role) {
        return new Target(content, role);
    }
}
