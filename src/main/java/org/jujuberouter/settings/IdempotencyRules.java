package org.jujuberouter.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Rules that determine which calls of a plain service are idempotent.
 *
 * <p>The first rule whose method and path match applies. If no rule matches, GET and HEAD are idempotent and all other
 * methods are not, because executing a call twice is worse than not retrying it. In a rule's path, {@code *} matches
 * one segment and a trailing {@code **} matches any number of segments.
 */
public final class IdempotencyRules {
    /** Regular expression for one rule, such as {@code POST /lookup/* idempotent}. */
    static final String PATTERN = "(GET|HEAD|POST|PUT|PATCH|DELETE) (/[A-Za-z0-9._~*-]*)+ (idempotent|non-idempotent)";

    private static final Set<String> IDEMPOTENT_BY_DEFAULT = Set.of("GET", "HEAD");

    private final List<Rule> rules;

    private IdempotencyRules(List<Rule> rules) {
        this.rules = rules;
    }

    /** Parses rules; ignores texts that are not valid rules. */
    public static IdempotencyRules of(List<String> ruleTexts) {
        List<Rule> parsed = new ArrayList<>();
        for (String text : ruleTexts) {
            if (text.matches(PATTERN)) {
                String[] parts = text.split(" ");
                parsed.add(new Rule(parts[0], pathPattern(parts[1]), parts[2].equals("idempotent")));
            }
        }
        return new IdempotencyRules(List.copyOf(parsed));
    }

    /** Returns whether a call can be retried safely. */
    public boolean isIdempotent(String method, String path) {
        for (Rule rule : rules) {
            if (rule.method().equals(method) && rule.path().matcher(path).matches()) {
                return rule.idempotent();
            }
        }
        return IDEMPOTENT_BY_DEFAULT.contains(method);
    }

    private static Pattern pathPattern(String path) {
        StringBuilder regex = new StringBuilder();
        for (String segment : path.substring(1).split("/", -1)) {
            regex.append(
                    switch (segment) {
                        case "**" -> "(/.*)?";
                        case "*" -> "/[^/]+";
                        default -> "/" + Pattern.quote(segment);
                    });
        }
        return Pattern.compile(regex.toString());
    }

    private record Rule(String method, Pattern path, boolean idempotent) {}
}
