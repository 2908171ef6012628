package org.dogwoodwinch.architecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

/** The rooms that decide import no I/O and read no clock, so that one code runs in daemon, tests and replay. */
@AnalyzeClasses(packages = "org.dogwoodwinch", importOptions = ImportOption.DoNotIncludeTests.class)
class DecisionsArePureTest {

    private static final String[] DECISIONS = {
        "..dogwoodwinch.admission..",
        "..dogwoodwinch.authority..",
        "..dogwoodwinch.catalogue..",
        "..dogwoodwinch.chart..",
        "..dogwoodwinch.follow..",
        "..dogwoodwinch.forwarding..",
        "..dogwoodwinch.queueing..",
        "..dogwoodwinch.request..",
        "..dogwoodwinch.roles..",
        "..dogwoodwinch.routing..",
        "..dogwoodwinch.scaling..",
        "..dogwoodwinch.usage.."
    };

    @ArchTest
    static final ArchRule NO_INPUT_OUTPUT = ArchRuleDefinition.noClasses()
            .that()
            .resideInAnyPackage(DECISIONS)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "org.asynchttpclient..", "java.net..")
            .allowEmptyShould(true);

    @ArchTest
    static final ArchRule TIME_IS_INJECTED = ArchRuleDefinition.noClasses()
            .that()
            .resideInAnyPackage(DECISIONS)
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .allowEmptyShould(true);
}
