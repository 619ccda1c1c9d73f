package org.jujuberouter.configcheck;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Names the components in which two records of the same type differ. */
final class RecordDifference {
    private RecordDifference() {}

    /** Returns the differences, separated by commas; empty if the records are equal. */
    static String of(Record before, Record after) {
        List<String> differences = new ArrayList<>();
        collect("", before, after, differences);
        return String.join(", ", differences);
    }

    private static void collect(String prefix, Record before, Record after, List<String> differences) {
        for (RecordComponent component : before.getClass().getRecordComponents()) {
            Object old = value(component, before);
            Object current = value(component, after);
            String name = prefix + component.getName();
            if (Objects.equals(old, current)) {
                continue;
            }
            if (old instanceof Record a && current instanceof Record b) {
                collect(name + ".", a, b, differences);
            } else if (isSimple(old)) {
                differences.add(name + " " + old + " -> " + current);
            } else {
                differences.add(name);
            }
        }
    }

    private static Object value(RecordComponent component, Record of) {
        try {
            Object value = component.getAccessor().invoke(of);
            return value instanceof Optional<?> optional ? optional.orElse(null) : value;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("a component of a public record cannot be read", e);
        }
    }

    private static boolean isSimple(Object value) {
        return value instanceof Number || value instanceof Boolean || value instanceof String || value instanceof Enum;
    }
}
