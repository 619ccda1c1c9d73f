package org.jujuberouter.limits;

/** The kinds of limits. */
public enum LimitName {
    REQUESTS("requests per second"),
    TOKENS("tokens per second"),
    LONG_PROMPTS("concurrent long prompts");

    private final String text;

    LimitName(String text) {
        this.text = text;
    }

    /** Returns the name shown to callers. */
    public String text() {
        return text;
    }
}
