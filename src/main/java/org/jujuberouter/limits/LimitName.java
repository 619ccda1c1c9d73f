package org.jujuberouter.limits;

/** The limits, with the names that callers see. */
public enum LimitName {
    REQUESTS("requests per second"),
    TOKENS("tokens per second"),
    LONG_PROMPTS("concurrent long prompts");

    private final String text;

    LimitName(String text) {
        this.text = text;
    }

    /** Returns the name for messages to callers. */
    public String text() {
        return text;
    }
}
