package org.dogwoodwinch.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.relay.ControlReply;
import org.dogwoodwinch.relay.ControlRequest;
import org.dogwoodwinch.scaling.EngineKind;
import org.dogwoodwinch.scaling.ScaleDestination;
import org.dogwoodwinch.scaling.ScaleOrder;
import org.dogwoodwinch.scaling.ScaleOutcome;
import org.dogwoodwinch.usage.DutyOutcome;
import org.dogwoodwinch.usage.UsageDestination;
import org.dogwoodwinch.usage.UsageReport;

/** Sends the platform the calls of which one instance at a time has the duty; no answer names its call. */
public final class DutyClient implements UsageDestination, ScaleDestination {

    /** The platform's name of the duty to report usage. */
    public static final String USAGE_DUTY = "usage_report";

    /** The platform's name of the duty to order engines. */
    public static final String AUTOSCALE_DUTY = "autoscale";

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final ControlClient controlCaller;
    private final InetSocketAddress address;
    private final long timeoutMillis;

    /**
     * Creates a client.
     *
     * @param controlCaller sends the calls, not null
     * @param address the platform's address for duties, not null
     * @param timeoutMillis the timeout of a call, in milliseconds
     */
    public DutyClient(ControlClient controlCaller, InetSocketAddress address, long timeoutMillis) {
        this.controlCaller = Objects.requireNonNull(controlCaller, "controlCaller");
        this.address = Objects.requireNonNull(address, "address");
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public CompletionStage<DutyOutcome> send(String holder, long fencingToken, UsageReport report) {
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("windowId", report.window());
        ObjectNode counts = body.putObject("counts");
        // Ordered, so that a repetition has the same bytes.
        new TreeMap<>(report.counts()).forEach(counts::put);
        return post("/usage", holder, fencingToken, body).thenApply(DutyClient::toOutcome);
    }

    @Override
    public CompletionStage<ScaleOutcome> send(String holder, long fencingToken, ScaleOrder order) {
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put("service", order.service())
                .put("zone", order.pool().dataCentre())
                .put("desired", order.desiredCount());
        if (order.pool().kind() == EngineKind.SPOT) {
            body.put("spot", true);
        }
        return post("/scale", holder, fencingToken, body).thenApply(DutyClient::toScaleOutcome);
    }

    private CompletionStage<ControlReply> post(String path, String holder, long fencingToken, ObjectNode body) {
        HttpHeaders headers = new DefaultHttpHeaders()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HeaderNames.DUTY_HOLDER, holder)
                .set(HeaderNames.FENCING_TOKEN, fencingToken);
        return controlCaller.callOnOwnConnection(
                address,
                new ControlRequest(HttpMethod.POST, path, headers, Bytes.ofUtf8(body.toString())),
                timeoutMillis);
    }

    private static ScaleOutcome toScaleOutcome(ControlReply reply) {
        return switch (toOutcome(reply)) {
            case ACCEPTED -> ScaleOutcome.ACCEPTED;
            case FENCED -> ScaleOutcome.CONFLICT;
            case REJECTED -> ScaleOutcome.REJECTED;
            case UNKNOWN -> ScaleOutcome.UNKNOWN;
        };
    }

    private static DutyOutcome toOutcome(ControlReply reply) {
        if (!(reply instanceof ControlReply.Answered answered)) {
            return DutyOutcome.UNKNOWN;
        }
        return switch (answered.status()) {
            case OK -> DutyOutcome.ACCEPTED;
            case CONFLICT -> DutyOutcome.FENCED;
            case TOO_MANY_REQUESTS, UNAVAILABLE -> DutyOutcome.REJECTED;
            default -> DutyOutcome.UNKNOWN;
        };
    }
}
