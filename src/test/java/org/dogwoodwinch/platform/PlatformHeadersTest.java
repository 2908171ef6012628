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
    void theLimitOfATargetIsADecimalNumber() {
        assertEquals(OptionalDouble.of(2.3), limit("2.3"));
        assertEquals(OptionalDouble.of(14), limit("14"));
        assertEquals(OptionalDouble.of(0), limit("0"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "1e9", "NaN", "Infinity", "2,3", "2.", "two", "99999999999"})
    void whatIsNoNumberNamesNoLimit(String text) {
        assertEquals(OptionalDouble.empty(), limit(text));
    }

    private static OptionalDouble limit(String text) {
        HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        answer.headers().set("Server-Limit", text);
        return new PlatformHeaders().readAnswer(answer).limitPerSecond();
    }
}
