package org.jujuberouter.misc;

import com.fasterxml.jackson.databind.ObjectMapper;

/** Process-wide JSON mapper; {@link ObjectMapper} is thread-safe and expensive to create. */
public final class Json {
    /** Mapper with Jackson's default configuration. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}
}
