package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.jujuberouter.catalog.Customer;
import org.jujuberouter.catalog.RequestHead;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.id.ServiceName;

/** The traits of one call: the shared parts of its prompt in order, then the whole request. */
final class CallTraits {
    private static final int FINGERPRINT_BYTES = 16;

    private final List<RequestTrait> parts;
    private final ServiceName service;
    private final String customer;
    private final HttpRequest head;
    private final ByteBuf body;
    private List<RequestTrait> all;

    private CallTraits(List<RequestTrait> parts, ServiceName service, String customer, HttpRequest head, ByteBuf body) {
        this.parts = parts;
        this.service = service;
        this.customer = customer;
        this.head = head;
        this.body = body;
    }

    /** Returns the traits of a call; the body must not be released before they are used for the last time. */
    static CallTraits of(
            RequestHead call, ServiceName service, Optional<Customer> customer, HttpRequest head, ByteBuf body) {
        List<RequestTrait> parts = call.sharedParts().stream()
                .map(p -> RequestTrait.part(service, p))
                .toList();
        String name = customer.map(c -> c.id().value()).orElse("");
        return new CallTraits(parts, service, name, head, body);
    }

    /** Returns a trait of the call that is quarantined. */
    Optional<RequestTrait> findQuarantined(CrashQuarantine crashes) {
        return crashes.hasQuarantined() ? crashes.findQuarantined(all()) : Optional.empty();
    }

    /** Records that an endpoint answers the call. */
    void answered(CrashQuarantine crashes) {
        crashes.answered(crashes.hasEvidence() ? all() : parts);
    }

    /**
     * Returns the traits that may have crashed an endpoint before it sent a part of the answer. A part of a prompt does so
     * only once the endpoint has begun to answer; a whole request may do so at any time.
     */
    List<RequestTrait> suspects(boolean begun) {
        return begun ? all() : all().subList(parts.size(), parts.size() + 1);
    }

    private List<RequestTrait> all() {
        if (all == null) {
            all = new ArrayList<>(parts);
            all.add(RequestTrait.request(service, fingerprint()));
        }
        return all;
    }

    /** Returns the fingerprint of what copies of the request have in common: customer, method, path and body. */
    private Fingerprint fingerprint() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(String.join("\n", customer, head.method().name(), head.uri(), "")
                    .getBytes(StandardCharsets.UTF_8));
            for (ByteBuffer piece : body.nioBuffers()) {
                digest.update(piece);
            }
            return Fingerprint.of(HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from this JDK", e);
        }
    }
}
