package org.jujuberouter.misc;

import com.fasterxml.jackson.databind.ObjectMapper;

/** The one JSON mapper of the process; it is thread-safe and costly to create. */
public final class Json {
    /** The shared mapper with default settings. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}
}
