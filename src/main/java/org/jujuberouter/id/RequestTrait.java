package org.jujuberouter.id;

/**
 * Something that requests have in common and that may crash each endpoint which runs them: a part of their prompts, or the
 * whole request that is sent again.
 *
 * @param value the string form; not blank
 */
public record RequestTrait(String value) implements Comparable<RequestTrait> {
    private static final String PART = "part";
    private static final String REQUEST = "request";

    /** Throws {@link IllegalArgumentException} if the value is null or blank. */
    public RequestTrait {
        IdValidation.requireNonBlank("RequestTrait", value);
    }

    /** Returns the trait with the given string form. */
    public static RequestTrait of(String value) {
        return new RequestTrait(value);
    }

    /** Returns the trait of all requests to a service whose prompts contain the part with the given id. */
    public static RequestTrait part(ServiceName service, String partId) {
        return new RequestTrait(PART + "/" + service + "/" + partId);
    }

    /** Returns the trait of all copies of one request to a service. */
    public static RequestTrait request(ServiceName service, Fingerprint fingerprint) {
        return new RequestTrait(REQUEST + "/" + service + "/" + fingerprint);
    }

    /** Returns whether this is the trait of one request rather than of a part that requests may share. */
    public boolean isWholeRequest() {
        return value.startsWith(REQUEST + "/");
    }

    @Override
    public int compareTo(RequestTrait other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
