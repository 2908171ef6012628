package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.dogwoodwinch.forwarding.ApiKey;

/** Parses and builds the HTTP headers exchanged with callers and targets, and encapsulates their names. */
public interface CallHeaders {

    /**
     * Parses the headers of a call.
     *
     * @param headers the headers of the call, not null
     * @return the attributes
     */
    CallAttributes parseCall(HttpHeaders headers);

    /**
     * Removes the caller's key from the headers of a call and returns it. The key is a secret: once removed, no later
     * step can forward or log it.
     *
     * @param headers the headers of the call, not null; modified
     * @return the key; empty if there is none or more than one
     */
    Optional<ApiKey> takeApiKey(HttpHeaders headers);

    /**
     * Builds the headers of a send from those of the caller. Omits hop-by-hop headers and those that only this system
     * may set, and adds the attributes of this send.
     *
     * @param callerHeaders the headers of the caller, not null; not modified
     * @param attributes the attributes of the send, not null
     * @return new headers without Content-Length
     */
    HttpHeaders targetHeaders(HttpHeaders callerHeaders, SendAttributes attributes);

    /**
     * Builds the headers with which a call is passed on to another instance: those of the caller with its key, without
     * hop-by-hop headers, and with the time that is left.
     *
     * @param callerHeaders the headers of the caller without its key, not null; not modified
     * @param key the caller's key; empty if there is none, or more than one
     * @param remainingMillis the time left until the call's deadline, in milliseconds
     * @return new headers without Content-Length
     */
    HttpHeaders neighbourHeaders(HttpHeaders callerHeaders, Optional<ApiKey> key, long remainingMillis);

    /**
     * Reads from the head of a target's response to which call it belongs.
     *
     * @param responseHead the head of the response with all its fields, not null
     * @return what it states about the call
     */
    ResponseIdentity parseIdentity(HttpResponse responseHead);

    /**
     * Parses the head of a target's response.
     *
     * @param responseHead the head of the response, not null
     * @return the attributes
     */
    ResponseAttributes parseResponse(HttpResponse responseHead);

    /**
     * Names the call in the headers of a response of this instance, unless they name one.
     *
     * @param headers the headers of the response, not null; modified
     * @param requestId the id of the call, not null
     */
    void stateRequestId(HttpHeaders headers, String requestId);

    /**
     * Builds the headers of a response to a caller from those of the target, without hop-by-hop headers.
     *
     * @param targetHeaders the headers of the target, not null; not modified
     * @return new headers without Content-Length
     */
    HttpHeaders callerHeaders(HttpHeaders targetHeaders);
}
