package org.dogwoodwinch.cli;

import java.util.concurrent.Callable;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.authority.PlannedChange;
import org.dogwoodwinch.control.PlanAnswer;
import org.dogwoodwinch.control.PlanRequest;
import org.dogwoodwinch.target.EngineRole;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code dogwoodwinchctl plan apply}: asks for a change of one engine. */
@Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        description = {
            "Asks for a change of one engine; it is carried out by whichever instance holds the engine's group.",
            "Where the answer is lost, run again with the --plan-id that was printed: one plan id is one change."
        })
public final class PlanApplyCommand implements Callable<Integer> {

    @Mixin
    private InstanceOption instance;

    @Parameters(index = "0", paramLabel = "CHANGE", description = "One of ${COMPLETION-CANDIDATES}.")
    private PlannedChange.Kind kind;

    @Parameters(index = "1", paramLabel = "ENGINE", description = "The engine, as the instance list names it.")
    private String engine;

    @Option(names = "--role", description = "CHANGE_ROLE: one of ${COMPLETION-CANDIDATES}.")
    private EngineRole role;

    @Option(names = "--model", paramLabel = "NAME", defaultValue = "", description = "LOAD_MODEL: the model.")
    private String model;

    @Option(
            names = "--model-version",
            paramLabel = "VERSION",
            defaultValue = "",
            description = "LOAD_MODEL: the version of its weights.")
    private String modelVersion;

    @Option(
            names = "--adapter",
            paramLabel = "NAME@VERSION",
            defaultValue = "",
            description = "LOAD_ADAPTER, UNLOAD_ADAPTER: the adapter.")
    private String adapter;

    @Option(
            names = "--replacement",
            paramLabel = "ENGINE",
            defaultValue = "",
            description = "REPLACE: the engine that takes over.")
    private String replacement;

    @Option(
            names = "--author",
            paramLabel = "NAME",
            defaultValue = "${sys:user.name}",
            description = "Who asks (default: ${DEFAULT-VALUE}).")
    private String author;

    @Option(names = "--plan-id", paramLabel = "ID", description = "Names the plan (default: a new name).")
    private String planId;

    @Override
    public Integer call() {
        String id = planId != null
                ? planId
                : "p-"
                        + Long.toHexString(
                                RandomSource.XO_RO_SHI_RO_128_PP.create().nextLong());
        instance.line("plan %s", id);
        PlannedChange change = new PlannedChange(kind, engine, "", role, model, modelVersion, adapter, replacement);
        return instance.post(
                "/control/plans",
                new PlanRequest(id, author, change),
                PlanAnswer.class,
                answer -> PlanAnswers.print(instance, answer));
    }
}
