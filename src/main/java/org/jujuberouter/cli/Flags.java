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
 * Reads the settings of a process from flags and environment variables and reports all errors at once.
 *
 * <p>A flag {@code --peer-port} takes precedence over the variable {@code JUJUBEROUTER_PEER_PORT}. Each reading method
 * notes an error and returns a stand-in value; {@link #check} then reports all of them, also variables with the prefix that
 * no flag reads, which are usually mistyped.
 */
public final class Flags {
    /** The allowed form of an HTTP address, in words. */
    public static final String HTTP_ADDRESS = "an address such as http://10.0.0.9:8500";

    private static final String PREFIX = "JUJUBEROUTER_";
    private static final Pattern HOST_PORT = Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:]+\\]):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    /** Variables that other commands or the launcher read. */
    private static final List<String> ELSEWHERE =
            List.of("JUJUBEROUTER_JAVA_OPTS", "JUJUBEROUTER_STORE", "JUJUBEROUTER_LIST");

    private final Map<String, String> flags;
    private final Map<String, String> environment;
    private final TreeSet<String> read = new TreeSet<>(ELSEWHERE);
    private final List<String> errors = new ArrayList<>();

    private Flags(Map<String, String> flags, Map<String, String> environment) {
        this.flags = flags;
        this.environment = environment;
    }

    /**
     * Returns a reader of the given flags and variables.
     *
     * @param flags the flags that were given, by name without the leading dashes
     */
    public static Flags of(Map<String, String> flags, Map<String, String> environment) {
        return new Flags(Map.copyOf(flags), Map.copyOf(environment));
    }

    /**
     * Returns a reader of the options that picocli parsed and of the variables of this process.
     *
     * <p>The options are to be declared as texts, so that picocli does not stop at the first that is wrong.
     */
    public static Flags of(CommandLine command) {
        Map<String, String> given = new HashMap<>();
        command.getParseResult().matchedOptions().forEach(o -> {
            if (!o.originalStringValues().isEmpty()) {
                given.put(
                        o.longestName().replaceFirst("^--", ""),
                        o.originalStringValues().getLast());
            }
        });
        return of(given, System.getenv());
    }

    /** Returns a text that must be given. */
    public String text(String name) {
        return parse(name, null, "a text", t -> t.isBlank() ? Optional.empty() : Optional.of(t), "");
    }

    /** Returns a text, or the default when it is not given. */
    public String text(String name, String absent) {
        return parse(name, absent, "a text", Optional::of, "");
    }

    /** Returns one of the allowed values of an enum, written in lower case. */
    public <T extends Enum<T>> T choice(String name, T absent) {
        T[] all = absent.getDeclaringClass().getEnumConstants();
        String words = String.join(
                ", ",
                Arrays.stream(all).map(v -> v.name().toLowerCase(Locale.ROOT)).toList());
        return parse(
                name,
                absent.name().toLowerCase(Locale.ROOT),
                words,
                t -> Arrays.stream(all)
                        .filter(v -> v.name().toLowerCase(Locale.ROOT).equals(t))
                        .findFirst(),
                absent);
    }

    /** Returns a whole number within the range, or the default when it is not given. */
    public long integer(String name, long absent, long min, long max) {
        return parse(
                name,
                Long.toString(absent),
                "a whole number from " + min + " to " + max,
                t -> number(t).filter(n -> n >= min && n <= max),
                absent);
    }

    /** Returns a port, or the default when it is not given; 0 takes a free one. */
    public int port(String name, int absent) {
        return (int) integer(name, absent, 0, MAX_PORT);
    }

    /** Returns an IP number with a port, such as 10.0.0.7:8400, that must be given. */
    public String hostAndPort(String name) {
        return parse(
                name,
                null,
                "an IP number and a port such as 10.0.0.7:8400",
                t -> Optional.of(t).filter(Flags::isHostAndPort),
                "");
    }

    /** Returns an HTTP address that must be given. */
    public URI address(String name) {
        return parse(name, null, HTTP_ADDRESS, Flags::httpAddress, URI.create("http://127.0.0.1"));
    }

    /** Returns all errors found so far, also variables with the prefix that were not read. */
    public List<String> errors() {
        List<String> all = new ArrayList<>(errors);
        for (String variable : new TreeSet<>(environment.keySet())) {
            if (variable.startsWith(PREFIX) && !read.contains(variable)) {
                all.add(variable + " is set, but no flag reads it; allowed: " + String.join(", ", read));
            }
        }
        return all;
    }

    /** Throws a usage error that lists all errors found; does nothing when there are none. */
    public void check(CommandLine command) {
        List<String> all = errors();
        if (!all.isEmpty()) {
            String list = String.join("\n  ", all);
            throw new CommandLine.ParameterException(
                    command, all.size() + " errors in flags and variables:\n  " + list);
        }
    }

    /** Returns the address that the text names, if it is one. */
    static Optional<URI> httpAddress(String text) {
        try {
            URI uri = URI.create(text);
            boolean good = ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))
                    && uri.getHost() != null
                    && uri.getQuery() == null;
            return good ? Optional.of(uri) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private <T> T parse(String name, String absent, String allowed, Function<String, Optional<T>> parser, T standIn) {
        String variable = PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
        read.add(variable);
        boolean byFlag = flags.containsKey(name);
        String text = byFlag ? flags.get(name) : environment.getOrDefault(variable, absent);
        if (text == null) {
            errors.add("--" + name + " (or " + variable + ") is required; allowed: " + allowed);
            return standIn;
        }
        Optional<T> value = parser.apply(text);
        if (value.isEmpty()) {
            String where = byFlag ? "--" + name : variable;
            errors.add(where + " is \"" + text + "\"; allowed: " + allowed);
        }
        return value.orElse(standIn);
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
