package org.jujuberouter.dispatch;

import java.util.Locale;

/** How placement takes failure domains into account. */
public enum DomainMode {
    /** A call leaves its domain if and only if a better place is elsewhere. */
    AUTO,
    /** A call leaves its domain only if no endpoint there is usable. */
    HOME,
    /** Domains are ignored. */
    ANY;

    /** Returns the mode with the given name; throws {@link IllegalArgumentException} if there is none. */
    public static DomainMode of(String name) {
        for (DomainMode mode : values()) {
            if (mode.name().toLowerCase(Locale.ROOT).equals(name)) {
                return mode;
            }
        }
        throw new IllegalArgumentException("the mode \"" + name + "\" is not auto, home or any");
    }
}
