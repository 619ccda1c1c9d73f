package org.jujuberouter.id;

/**
 * Names a model, adapter or version that an endpoint may serve.
 *
 * @param value the text form, never blank
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /** Rejects a missing or blank value. */
    public ModelName {
        IdRules.requireText("ModelName", value);
    }

    /** Returns the id with the given text form. */
    public static ModelName of(String value) {
        return new ModelName(value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
