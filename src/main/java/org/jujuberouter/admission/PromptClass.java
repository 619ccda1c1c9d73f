package org.jujuberouter.admission;

/** Classes of requests by prompt length, in order of priority. */
public enum PromptClass {
    SHORT,
    MEDIUM,
    LONG;

    /** The longest prompt in the class SHORT, in tokens. */
    public static final long SHORT_TOKENS = 8_192;

    /** The longest prompt in the class MEDIUM, in tokens. */
    public static final long MEDIUM_TOKENS = 65_536;

    /** Returns the class of a prompt of the given length. */
    public static PromptClass of(long promptTokens) {
        if (promptTokens <= SHORT_TOKENS) {
            return SHORT;
        }
        return promptTokens <= MEDIUM_TOKENS ? MEDIUM : LONG;
    }
}
