package org.dogwoodwinch.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PlatformHeadersTest {

    @Test
    void parsesDecimalRateLimit() {
        assertEquals(OptionalDouble.of(2.3), readRateLimit("2.3"));
        assertEquals(OptionalDouble.of(14), readRateLimit("14"));
        assertEquals(OptionalDouble.of(0), readRateLimit("0"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "1e9", "NaN", "Infinity", "2,3", "2.", "two", "99999999999"})
    void invalidRateLimitIsIgnored(String text) {
        assertEquals(OptionalDouble.empty(), readRateLimit(text));
    }

    private static OptionalDouble readRateLimit(String text) {
        HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        answer.headers().set("Server-Limit", text);
        return new PlatformHeaders().parseResponse(answer).rateLimitPerSecond();
    }
}
