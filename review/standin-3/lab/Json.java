package lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON by the library that the project's binary contains. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static JsonNode parse(byte[] bytes) throws java.io.IOException {
        return bytes.length == 0 ? object() : MAPPER.readTree(bytes);
    }
}
