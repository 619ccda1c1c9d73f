package org.jujuberouter.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Tells which calls of a plain service are idempotent.
 *
 * <p>The first rule that matches method and path decides. Without a match GET and HEAD are idempotent and every other
 * method is not, because a call that is repeated by mistake costs more than one that is not retried. In a rule's path
 * {@code *} stands for one segment and {@code **} at the end for any rest.
 */
public final class IdempotencyRules {
    /** The form of one rule, such as {@code POST /lookup/* idempotent}. */
    static final String FORM = "(GET|HEAD|POST|PUT|PATCH|DELETE) (/[A-Za-z0-9._~*-]*)+ (idempotent|non-idempotent)";

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

    private final List<Rule> rules;

    private IdempotencyRules(List<Rule> rules) {
        this.rules = rules;
    }

    /** Returns the rules with the given texts; a text that is not a rule is passed over. */
    public static IdempotencyRules of(List<String> texts) {
        List<Rule> parsed = new ArrayList<>();
        for (String text : texts) {
            if (text.matches(FORM)) {
                String[] parts = text.split(" ");
                parsed.add(new Rule(parts[0], pathPattern(parts[1]), parts[2].equals("idempotent")));
            }
        }
        return new IdempotencyRules(List.copyOf(parsed));
    }

    /** Tells whether a call may be repeated. */
    public boolean isIdempotent(String method, String path) {
        for (Rule rule : rules) {
            if (rule.method().equals(method) && rule.path().matcher(path).matches()) {
                return rule.idempotent();
            }
        }
        return SAFE_METHODS.contains(method);
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
