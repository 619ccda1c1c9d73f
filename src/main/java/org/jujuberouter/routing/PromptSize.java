package org.jujuberouter.routing;

/** Size classes of prompts; shorter classes are processed first. */
public enum PromptSize {
    SHORT,
    MEDIUM,
    LONG;

    /** Longest short prompt, in tokens. */
    public static final long SHORT_MAX_TOKENS = 8_192;

    /** Longest medium prompt, in tokens. */
    public static final long MEDIUM_MAX_TOKENS = 65_536;

    /** Returns the size class of a prompt. */
    public static PromptSize ofPrompt(long tokens) {
        if (tokens <= SHORT_MAX_TOKENS) {
            return SHORT;
        }
        return tokens <= MEDIUM_MAX_TOKENS ? MEDIUM : LONG;
    }
}
