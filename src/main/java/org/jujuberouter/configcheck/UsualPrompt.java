package org.jujuberouter.configcheck;

/** The prompt that every inference service must be able to serve: the shortest of the prompts in use. */
final class UsualPrompt {
    static final long TOKENS = 1_000;

    /** Size of the request body, at about 4 bytes per token. */
    static final int BYTES = 4_000;

    private UsualPrompt() {}
}
