package org.jujuberouter.admission;

/** A class of requests by prompt length, in order of priority. */
public enum PromptClass {
    SHORT,
    MEDIUM,
    LONG;

    /** The longest prompt of the short lane, in tokens. */
    public static final long SHORT_TOKENS = 8_192;

    /** The longest prompt of the medium lane, in tokens. */
    public static final long MEDIUM_TOKENS = 65_536;

    /** Returns the lane of a prompt. */
    public static PromptClass of(long promptTokens) {
        if (promptTokens <= SHORT_TOKENS) {
            return SHORT;
        }
        return promptTokens <= MEDIUM_TOKENS ? MEDIUM : LONG;
    }
}
