package org.jujuberouter.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.jujuberouter.gateway.CallCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformCallCodecTest {
    private static CallCodec.Answer read(int status, String name, String... values) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        for (String value : values) {
            head.headers().add(name, value);
        }
        return HttpPlatformAdapter.create().codec().read(head);
    }

    /** A value that is no number of seconds, or an absurd one, must not take an endpoint out for years. */
    @ParameterizedTest
    @CsvSource({
        "2, 2000",
        "0.25, 250",
        "0, 0",
        "-1, 0",
        "NaN, 0",
        "Infinity, 0",
        "1e9, 0",
        "'Wed, 21 Oct 2065 07:28:00 GMT', 0",
        "'', 0",
        "99999999999, 600000"
    })
    void readsThePauseOfAnEndpointFromValidNumbersOnly(String value, long expectedMs) {
        assertEquals(expectedMs, read(503, "Retry-After", value).pauseMs());
    }

    @Test
    void takesTheLongestOfSeveralPausesAndNoneFromOtherStatuses() {
        assertEquals(3_000, read(503, "Retry-After", "1", "x", "3", "2").pauseMs());
        assertEquals(0, read(429, "Retry-After", "1").pauseMs());
    }

    @Test
    void readsThatAnEndpointLeavesFromEachStatus() {
        for (int status : new int[] {200, 400, 421, 500, 503}) {
            assertTrue(read(status, "Server-Leaving", "1").leaving(), "status " + status);
            assertFalse(read(status, "Server-Leaving", "0").leaving(), "status " + status);
        }
    }
}
