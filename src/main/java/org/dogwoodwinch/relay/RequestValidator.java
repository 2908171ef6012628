package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.regex.Pattern;

/** Detects ambiguous or unsupported request heads that the decoder itself accepts. */
final class RequestValidator {

    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private RequestValidator() {}

    /**
     * Returns whether a request head is supported and unambiguous.
     *
     * @param request the decoded head, not null
     * @return whether the request may be processed
     */
    static boolean isWellFormed(HttpRequest request) {
        return isSupportedVersion(request)
                && isOriginFormTarget(request)
                && hasSingleHost(request)
                && hasUnambiguousFraming(request.headers());
    }

    private static boolean isSupportedVersion(HttpRequest request) {
        HttpVersion version = request.protocolVersion();
        boolean known = version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
        return known && !request.method().equals(HttpMethod.CONNECT);
    }

    private static boolean isOriginFormTarget(HttpRequest request) {
        String uri = request.uri();
        if (!uri.startsWith("/")) {
            return false;
        }
        return uri.chars().allMatch(character -> character > ' ' && character < 0x7f);
    }

    private static boolean hasSingleHost(HttpRequest request) {
        return request.headers().getAll(HttpHeaderNames.HOST).size() == 1;
    }

    private static boolean hasUnambiguousFraming(HttpHeaders headers) {
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (lengths.size() + encodings.size() > 1) {
            return false;
        }
        if (!lengths.isEmpty()) {
            return LENGTH.matcher(lengths.get(0)).matches();
        }
        return encodings.isEmpty() || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
    }
}
