package org.jujuberouter.store;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** Client of the platform's member list over HTTP. */
public final class HttpMemberList implements MemberList {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PlatformHttpClient client;

    private HttpMemberList(PlatformHttpClient client) {
        this.client = client;
    }

    /** Returns a client of the member list at the given base address. */
    public static HttpMemberList at(URI base) {
        return new HttpMemberList(PlatformHttpClient.to(base));
    }

    @Override
    public List<ListedMember> read() throws PlatformException {
        HttpResponse<byte[]> response = client.send("GET", "v1/members", null, REQUEST_TIMEOUT);
        if (response.statusCode() != 200) {
            throw PlatformHttpClient.unexpectedStatus("read members", response);
        }
        try {
            return JSON.readValue(response.body(), new TypeReference<List<ListedMember>>() {});
        } catch (IOException e) {
            throw PlatformException.unavailable("read members", e);
        }
    }
}
