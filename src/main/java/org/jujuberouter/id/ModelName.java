package org.jujuberouter.id;

/**
 * Name of a model, adapter or model version that an endpoint can serve.
 *
 * @param value the string form; not blank
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /** Throws {@link IllegalArgumentException} if the value is null or blank. */
    public ModelName {
        IdValidation.requireNonBlank("ModelName", value);
    }

    /** Returns the model name with the given string form. */
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
