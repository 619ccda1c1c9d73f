package org.jujuberouter.routing;

/** The classes of prompts by length. */
public enum PromptSize {
    SHORT,
    MEDIUM,
    LONG;

    /** Longest prompt of the short lane, in tokens. */
    public static final long SHORT_MAX_TOKENS = 8_192;

    /** Longest prompt of the medium lane, in tokens. */
    public static final long MEDIUM_MAX_TOKENS = 65_536;

    /** Returns the lane of a prompt. */
    public static PromptSize ofPrompt(long tokens) {
        if (tokens <= SHORT_MAX_TOKENS) {
            return SHORT;
        }
        return tokens <= MEDIUM_MAX_TOKENS ? MEDIUM : LONG;
    }
}
