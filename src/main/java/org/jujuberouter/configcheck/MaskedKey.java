package org.jujuberouter.configcheck;

/** Shortens API keys for output. */
public final class MaskedKey {
    private static final int MAX_VISIBLE = 4;

    private MaskedKey() {}

    /** Returns at most the first four characters of a key, and never more than half of it. */
    public static String of(String key) {
        return key.substring(0, Math.min(MAX_VISIBLE, key.length() / 2)) + "...";
    }
}
