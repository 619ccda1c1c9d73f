package org.jujuberouter.configcheck;

import java.util.function.Consumer;

/** Finds a limit on request bodies that no prompt of an inference service meets. */
final class BodyLimitCheck implements Check {
    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        boolean inference = configuration.services().stream()
                .anyMatch(s -> s.value().engine().isPresent());
        int limit = configuration.limits().value().maxBodyBytes();
        boolean unknown = DecodingErrors.of(configuration).contains(configuration.limits());
        if (inference && !unknown && limit < UsualPrompt.BYTES) {
            findings.accept(Finding.warning(
                    configuration.limits().location().path(ConfigurationField.MAX_BODY),
                    limit + " bytes",
                    "at least " + UsualPrompt.BYTES + " bytes",
                    "prompts of " + UsualPrompt.TOKENS + " tokens are rejected"));
        }
    }
}
