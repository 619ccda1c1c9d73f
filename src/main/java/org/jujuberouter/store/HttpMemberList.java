package org.jujuberouter.store;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** A client of the platform's list over HTTP. */
public final class HttpMemberList implements MemberList {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpCalls calls;

    private HttpMemberList(HttpCalls calls) {
        this.calls = calls;
    }

    /** Returns a client of the list at the given base address. */
    public static HttpMemberList at(URI base) {
        return new HttpMemberList(HttpCalls.to(base));
    }

    @Override
    public List<ListedMember> read() throws PlatformException {
        HttpResponse<byte[]> response = calls.send("GET", "v1/members", null, CALL_TIMEOUT);
        if (response.statusCode() != 200) {
            throw HttpCalls.unexpected("read members", response);
        }
        try {
            return JSON.readValue(response.body(), new TypeReference<List<ListedMember>>() {});
        } catch (IOException e) {
            throw PlatformException.unavailable("read members", e);
        }
    }
}
