package org.dogwoodwinch.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.dogwoodwinch.authority.AuthorityAction;
import org.dogwoodwinch.authority.AuthorityAgent;
import org.dogwoodwinch.authority.AuthorityState;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.OrderResult;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the actions that the {@link AuthorityAgent} decides on and reports their results back to it. Thread-safe.
 */
final class AuthorityRunner {

    private static final Logger log = LoggerFactory.getLogger(AuthorityRunner.class);

    private final AuthorityAgent agent;
    private final ControlServices services;
    private final TimeSource time;
    private final LockedAccess access;
    private final Consumer<ControlRecord> appender;

    /**
     * Creates a runner.
     *
     * @param agent decides on the actions and receives their results, not null
     * @param services provides the engines and the weight store, not null
     * @param time provides the monotonic time, not null
     * @param access gives access to the agent and the replicated state under their owner's lock, not null
     * @param appender appends a record to the control stream, not null
     */
    AuthorityRunner(
            AuthorityAgent agent,
            ControlServices services,
            TimeSource time,
            LockedAccess access,
            Consumer<ControlRecord> appender) {
        this.agent = Objects.requireNonNull(agent, "agent");
        this.services = Objects.requireNonNull(services, "services");
        this.time = Objects.requireNonNull(time, "time");
        this.access = Objects.requireNonNull(access, "access");
        this.appender = Objects.requireNonNull(appender, "appender");
    }

    /**
     * Executes actions. The caller must not hold the owner's lock.
     *
     * @param actions the actions in execution order, not null
     */
    void run(List<AuthorityAction> actions) {
        for (AuthorityAction action : actions) {
            if (action instanceof AuthorityAction.AppendRecord append) {
                appender.accept(append.record());
            } else if (action instanceof AuthorityAction.SendOrder send) {
                send(send);
            } else if (action instanceof AuthorityAction.ReadEngineState read) {
                readState(read.engine());
            } else {
                services.weightStore()
                        .allowedLoadsPerMinute()
                        .whenComplete((allowed, failure) -> access.update(_authorityState ->
                                agent.onWeightLoadRate(failure != null ? 0 : allowed, time.monotonicMillis())));
            }
        }
    }

    private void send(AuthorityAction.SendOrder send) {
        Optional<EngineClient> client = findClient(send.engine());
        if (client.isEmpty()) {
            onResult(send, new OrderResult.Refused("the engine is not in the instance list"));
            return;
        }
        // The lease is checked immediately before the write rather than at the time of the decision, so that the lease
        // covers the write however much time has passed in between.
        if (!access.query(authorityState -> agent.isSendAllowed(authorityState, send, time.monotonicMillis()))) {
            onResult(send, new OrderResult.Refused("the lease has expired"));
            return;
        }
        client.get()
                .sendOrder(send.order())
                .whenComplete((result, failure) ->
                        onResult(send, failure == null ? result : new OrderResult.Unknown(String.valueOf(failure))));
    }

    private void onResult(AuthorityAction.SendOrder send, OrderResult result) {
        LogEvent.of("order_result")
                .with("engine", send.engine())
                .with("order", send.order().orderId())
                .with("token", send.order().fencingToken())
                .with("result", result.getClass().getSimpleName())
                .info(log);
        access.update(_authorityState ->
                agent.onOrderResult(send.engine(), send.order().orderId(), result, time.monotonicMillis()));
    }

    private void readState(String engine) {
        findClient(engine)
                .ifPresent(client -> client.fetchState().whenComplete((reply, failure) -> {
                    if (failure == null) {
                        onState(engine, reply);
                    }
                }));
    }

    private void onState(String engine, TargetReply<EngineState> reply) {
        if (reply instanceof TargetReply.Answer<EngineState> answer) {
            access.update(_authorityState -> agent.onEngineState(engine, answer.value(), time.monotonicMillis()));
        }
    }

    private Optional<EngineClient> findClient(String engine) {
        return services.fleet().engines().stream()
                .filter(target -> target.name().equals(engine))
                .findFirst()
                .map((Target target) -> services.targetClients().engineClient(target));
    }

    /** Gives access to the agent under its owner's lock. */
    interface LockedAccess {

        /**
         * Runs an action that updates the agent. The owner schedules a new decision afterwards.
         *
         * @param action receives the replicated state as of the last applied record, not null
         */
        void update(Consumer<AuthorityState> action);

        /**
         * Evaluates a predicate against the replicated state.
         *
         * @param predicate receives the replicated state as of the last applied record, not null
         * @return the result of the predicate
         */
        boolean query(Predicate<AuthorityState> predicate);
    }
}
