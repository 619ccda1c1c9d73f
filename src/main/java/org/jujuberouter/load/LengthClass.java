package org.jujuberouter.load;

/** The classes that results are kept by: prompt lengths around 1 k, 10 k, 100 k and 1 M tokens, and plain calls. */
public enum LengthClass {
    /** Calls to plain services. */
    CALL("call", 0),
    /** Up to the geometric middle of 1 k and 10 k. */
    K1("1k", 3_162),
    /** Up to the geometric middle of 10 k and 100 k. */
    K10("10k", 31_623),
    /** Up to the geometric middle of 100 k and 1 M. */
    K100("100k", 316_228),
    /** All longer prompts. */
    M1("1M", Integer.MAX_VALUE);

    private final String text;
    private final int lastTokens;

    LengthClass(String text, int lastTokens) {
        this.text = text;
        this.lastTokens = lastTokens;
    }

    /** Returns the form used in results and options. */
    public String text() {
        return text;
    }

    /** Returns the place of a result name, which is a class with an optional suffix, in the order of the classes. */
    static int rank(String resultName) {
        String name = resultName.split("-", 2)[0];
        for (LengthClass c : values()) {
            if (c.text.equals(name)) {
                return c.ordinal();
            }
        }
        return values().length;
    }

    static LengthClass of(TraceEntry entry) {
        if (!entry.kind().isCompletion()) {
            return CALL;
        }
        for (LengthClass c : values()) {
            if (c != CALL && entry.promptTokens() <= c.lastTokens) {
                return c;
            }
        }
        return M1;
    }
}
