package org.jujuberouter.cli;

import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Pattern;
import picocli.CommandLine;

/**
 * Reads the options of a process from flags and environment variables and reports all errors at once.
 *
 * <p>A flag {@code --peer-port} takes precedence over the variable {@code JUJUBEROUTER_PEER_PORT}. For a missing or
 * invalid value, the reading methods record an error and return a placeholder; {@link #check} then reports all errors,
 * including variables with the prefix that no flag reads, which are usually mistyped.
 */
public final class Flags {
    /** Description of a valid HTTP address, for error messages. */
    public static final String HTTP_ADDRESS = "an address such as http://10.0.0.9:8500";

    private static final String PREFIX = "JUJUBEROUTER_";
    private static final Pattern HOST_PORT = Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:]+\\]):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    /** Variables that are read by other commands or by the launcher. */
    private static final List<String> READ_ELSEWHERE =
            List.of("JUJUBEROUTER_JAVA_OPTS", "JUJUBEROUTER_STORE", "JUJUBEROUTER_LIST");

    private final Map<String, String> flags;
    private final Map<String, String> environment;
    private final TreeSet<String> readVariables = new TreeSet<>(READ_ELSEWHERE);
    private final List<String> errors = new ArrayList<>();

    private Flags(Map<String, String> flags, Map<String, String> environment) {
        this.flags = flags;
        this.environment = environment;
    }

    /**
     * Returns a reader of the given flags and variables.
     *
     * @param flags values of the given flags, by name without the leading dashes
     */
    public static Flags of(Map<String, String> flags, Map<String, String> environment) {
        return new Flags(Map.copyOf(flags), Map.copyOf(environment));
    }

    /**
     * Returns a reader of the options that picocli parsed and of the variables of this process.
     *
     * <p>The options must be declared as strings, so that picocli does not stop at the first invalid one.
     */
    public static Flags of(CommandLine command) {
        Map<String, String> givenFlags = new HashMap<>();
        command.getParseResult().matchedOptions().forEach(o -> {
            if (!o.originalStringValues().isEmpty()) {
                givenFlags.put(
                        o.longestName().replaceFirst("^--", ""),
                        o.originalStringValues().getLast());
            }
        });
        return of(givenFlags, System.getenv());
    }

    /** Returns a required text. */
    public String text(String name) {
        return parse(name, null, "a text", t -> t.isBlank() ? Optional.empty() : Optional.of(t), "");
    }

    /** Returns a text, or the default if it is not given. */
    public String text(String name, String defaultValue) {
        return parse(name, defaultValue, "a text", Optional::of, "");
    }

    /** Returns the enum constant given by its name in lower case, or the default if it is not given. */
    public <T extends Enum<T>> T choice(String name, T defaultValue) {
        T[] constants = defaultValue.getDeclaringClass().getEnumConstants();
        String allowedNames = String.join(
                ", ",
                Arrays.stream(constants)
                        .map(v -> v.name().toLowerCase(Locale.ROOT))
                        .toList());
        return parse(
                name,
                defaultValue.name().toLowerCase(Locale.ROOT),
                allowedNames,
                t -> Arrays.stream(constants)
                        .filter(v -> v.name().toLowerCase(Locale.ROOT).equals(t))
                        .findFirst(),
                defaultValue);
    }

    /** Returns a whole number within the range, or the default if it is not given. */
    public long integer(String name, long defaultValue, long min, long max) {
        return parse(
                name,
                Long.toString(defaultValue),
                "a whole number from " + min + " to " + max,
                t -> number(t).filter(n -> n >= min && n <= max),
                defaultValue);
    }

    /** Returns a port, or the default if it is not given; 0 selects a free port. */
    public int port(String name, int defaultValue) {
        return (int) integer(name, defaultValue, 0, MAX_PORT);
    }

    /** Returns a required IP address and port, such as 10.0.0.7:8400. */
    public String hostAndPort(String name) {
        return parse(
                name,
                null,
                "an IP number and a port such as 10.0.0.7:8400",
                t -> Optional.of(t).filter(Flags::isHostAndPort),
                "");
    }

    /** Returns a required HTTP address. */
    public URI address(String name) {
        return parse(name, null, HTTP_ADDRESS, Flags::httpAddress, URI.create("http://127.0.0.1"));
    }

    /** Returns all errors recorded so far, including variables with the prefix that were not read. */
    public List<String> errors() {
        List<String> allErrors = new ArrayList<>(errors);
        for (String variable : new TreeSet<>(environment.keySet())) {
            if (variable.startsWith(PREFIX) && !readVariables.contains(variable)) {
                allErrors.add(variable + " is set, but no flag reads it; allowed: " + String.join(", ", readVariables));
            }
        }
        return allErrors;
    }

    /** Throws a usage error that lists all errors; does nothing if there are none. */
    public void check(CommandLine command) {
        List<String> allErrors = errors();
        if (!allErrors.isEmpty()) {
            String errorList = String.join("\n  ", allErrors);
            throw new CommandLine.ParameterException(
                    command, allErrors.size() + " errors in flags and variables:\n  " + errorList);
        }
    }

    /** Parses an HTTP or HTTPS address without a query; empty if the text is not one. */
    static Optional<URI> httpAddress(String text) {
        try {
            URI uri = URI.create(text);
            boolean valid = ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))
                    && uri.getHost() != null
                    && uri.getQuery() == null;
            return valid ? Optional.of(uri) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private <T> T parse(
            String name, String defaultValue, String allowed, Function<String, Optional<T>> parser, T placeholder) {
        String variable = PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
        readVariables.add(variable);
        boolean fromFlag = flags.containsKey(name);
        String text = fromFlag ? flags.get(name) : environment.getOrDefault(variable, defaultValue);
        if (text == null) {
            errors.add("--" + name + " (or " + variable + ") is required; allowed: " + allowed);
            return placeholder;
        }
        Optional<T> value = parser.apply(text);
        if (value.isEmpty()) {
            String source = fromFlag ? "--" + name : variable;
            errors.add(source + " is \"" + text + "\"; allowed: " + allowed);
        }
        return value.orElse(placeholder);
    }

    private static Optional<Long> number(String text) {
        try {
            return Optional.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static boolean isHostAndPort(String text) {
        var matcher = HOST_PORT.matcher(text);
        return matcher.matches() && Integer.parseInt(matcher.group(2)) <= MAX_PORT;
    }
}
