package org.jujuberouter.load;

/** Classes that group results: prompts of around 1 k, 10 k, 100 k and 1 M tokens, and calls to plain services. */
public enum RequestLengthClass {
    /** Calls to plain services, which have no prompt. */
    CALL("call", 0),
    /** Up to the geometric mean of 1 k and 10 k tokens. */
    K1("1k", 3_162),
    /** Up to the geometric mean of 10 k and 100 k tokens. */
    K10("10k", 31_623),
    /** Up to the geometric mean of 100 k and 1 M tokens. */
    K100("100k", 316_228),
    /** All longer prompts. */
    M1("1M", Integer.MAX_VALUE);

    private final String text;
    private final int maxTokens;

    RequestLengthClass(String text, int maxTokens) {
        this.text = text;
        this.maxTokens = maxTokens;
    }

    /** Returns the name used in results and command line options. */
    public String text() {
        return text;
    }

    /** Returns the sort position of a result group, whose name is a class name with an optional suffix. */
    static int rank(String groupName) {
        String className = groupName.split("-", 2)[0];
        for (RequestLengthClass c : values()) {
            if (c.text.equals(className)) {
                return c.ordinal();
            }
        }
        return values().length;
    }

    static RequestLengthClass of(TraceEntry entry) {
        if (!entry.kind().isCompletion()) {
            return CALL;
        }
        for (RequestLengthClass c : values()) {
            if (c != CALL && entry.promptTokens() <= c.maxTokens) {
                return c;
            }
        }
        return M1;
    }
}
