package holdproxy;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Allowed dependencies between packages; they point towards the decision module, never back. */
class ArchitectureTest {
    private static final JavaClasses MAIN =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("holdproxy");

    @Test
    void policyDependsOnNoOtherPackageAndDoesNoInputOrOutput() {
        classes()
                .that()
                .resideInAPackage("holdproxy.policy")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "holdproxy.policy",
                        "java.lang",
                        "java.util",
                        "java.util.function",
                        "java.util.stream")
                .check(MAIN);
    }

    @Test
    void policyReadsNoClock() {
        noClasses()
                .that()
                .resideInAPackage("holdproxy.policy")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(MAIN);
    }

    @Test
    void simAndNetDoNotDependOnEachOther() {
        classes()
                .that()
                .resideInAPackage("holdproxy.sim")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "holdproxy.sim", "holdproxy.input", "holdproxy.policy", "java..")
                .check(MAIN);
        noClasses()
                .that()
                .resideInAPackage("holdproxy.net..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("holdproxy.sim..", "holdproxy.simulation..", "holdproxy")
                .check(MAIN);
    }

    @Test
    void packagesUsedByServeDependOnNoCommandLineOrLoggingLibraries() {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "holdproxy.simulation..",
                        "holdproxy.emulator..",
                        "holdproxy.toml..",
                        "holdproxy.harness..",
                        "holdproxy.command..",
                        "holdproxy.daemon..",
                        "holdproxy.scale..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("picocli..", "org.tomlj..", "org.HdrHistogram..", "org.jfree..")
                .check(MAIN);
        noClasses()
                .that()
                .resideOutsideOfPackages("holdproxy.daemon..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.slf4j..", "ch.qos..")
                .check(MAIN);
    }

    @Test
    void membershipDependsOnNoOtherPackageButInput() {
        noClasses()
                .that()
                .resideInAPackage("holdproxy.membership")
                .should()
                .dependOnClassesThat(
                        JavaClass.Predicates.resideInAnyPackage("holdproxy..")
                                .and(
                                        not(
                                                JavaClass.Predicates.resideInAnyPackage(
                                                        "holdproxy.membership",
                                                        "holdproxy.input"))))
                .check(MAIN);
    }

    @Test
    void membershipRulesReadNoClockAndOpenNoSocket() {
        classes()
                .that()
                .resideInAPackage("holdproxy.membership")
                .and()
                .haveSimpleNameStartingWith("Member")
                .or()
                .haveSimpleName("Gossip")
                .and()
                .doNotHaveSimpleName("MembershipService")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "holdproxy.membership",
                        "java.lang",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "java.util.zip",
                        "java.nio.charset")
                .check(MAIN);
        noClasses()
                .that()
                .resideInAPackage("holdproxy.membership")
                .and()
                .haveSimpleName("Membership")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(MAIN);
    }

    @Test
    void consensusAndLeaseReadNoClockAndDependOnNoOtherPackages() {
        classes()
                .that()
                .resideInAPackage("holdproxy.lease")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "holdproxy.lease",
                        "holdproxy.consensus",
                        "holdproxy.input",
                        "java.lang",
                        "java.util",
                        "java.util.concurrent",
                        "java.util.function")
                .check(MAIN);
        noClasses()
                .that()
                .resideInAPackage("holdproxy.consensus")
                .should()
                .dependOnClassesThat(
                        JavaClass.Predicates.resideInAnyPackage("holdproxy..")
                                .and(
                                        not(
                                                JavaClass.Predicates.resideInAnyPackage(
                                                        "holdproxy.consensus", "holdproxy.input"))))
                .check(MAIN);
        noClasses()
                .that()
                .resideInAnyPackage("holdproxy.lease", "holdproxy.consensus")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(MAIN);
        noClasses()
                .that()
                .resideOutsideOfPackage("holdproxy.consensus")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("io.microraft..")
                .check(MAIN);
    }

    @Test
    void fanoutRulesReadNoClockAndOpenNoSocket() {
        classes()
                .that()
                .resideInAPackage("holdproxy.fanout")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "holdproxy.fanout",
                        "java.lang",
                        "java.util",
                        "java.util.function",
                        "java.util.random",
                        "java.util.stream",
                        "java.nio.charset",
                        "java.io",
                        "com.fasterxml.jackson..")
                .check(MAIN);
        classes()
                .that()
                .resideInAPackage("holdproxy.fanout")
                .and()
                .doNotHaveSimpleName("MessageCodec")
                .should()
                .onlyDependOnClassesThat()
                .resideOutsideOfPackages("java.io", "com.fasterxml.jackson..")
                .check(MAIN);
        noClasses()
                .that()
                .resideInAPackage("holdproxy.fanout")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(MAIN);
        noClasses()
                .that()
                .resideInAnyPackage("holdproxy.net", "holdproxy.policy")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("holdproxy.fanout")
                .check(MAIN);
    }

    @Test
    void fanoutTransportDependsOnFanoutRulesOnly() {
        classes()
                .that()
                .resideInAPackage("holdproxy.fanout.transport")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "holdproxy.fanout", "holdproxy.fanout.transport", "io.netty..", "java..")
                .check(MAIN);
        noClasses()
                .that()
                .resideInAPackage("holdproxy.fanout.transport")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(MAIN);
    }

    @Test
    void proxyDoesNotDependOnFleetPackages() {
        noClasses()
                .that()
                .resideInAnyPackage("holdproxy.net..", "holdproxy.policy..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "holdproxy.fanout..",
                        "holdproxy.membership..",
                        "holdproxy.consensus..",
                        "holdproxy.lease..",
                        "holdproxy.daemon..")
                .check(MAIN);
    }

    @Test
    void onlyMainDependsOnTheDaemon() {
        noClasses()
                .that()
                .resideOutsideOfPackages("holdproxy", "holdproxy.daemon..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("holdproxy.daemon..")
                .check(MAIN);
    }

    @Test
    void townDependsOnTransportAndTomlOnly() {
        noClasses()
                .that()
                .resideInAPackage("holdproxy.emulator")
                .should()
                .dependOnClassesThat(
                        JavaClass.Predicates.resideInAnyPackage("holdproxy..")
                                .and(
                                        not(
                                                JavaClass.Predicates.resideInAnyPackage(
                                                                "holdproxy.emulator",
                                                                "holdproxy.toml")
                                                        .or(
                                                                JavaClass.Predicates.simpleName(
                                                                        "Transport")))))
                .check(MAIN);
    }

    @Test
    void rigDoesNotDependOnTheProgramUnderTest() {
        noClasses()
                .that()
                .resideInAPackage("holdproxy.harness")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "holdproxy.net..",
                        "holdproxy.policy..",
                        "holdproxy.console..",
                        "holdproxy.simulation..",
                        "holdproxy.sim..",
                        "holdproxy.daemon..")
                .check(MAIN);
    }

    @Test
    void onlyMainDependsOnScale() {
        noClasses()
                .that()
                .resideOutsideOfPackages("holdproxy", "holdproxy.scale..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("holdproxy.scale..")
                .check(MAIN);
        noClasses()
                .that()
                .resideOutsideOfPackage("holdproxy.scale..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.apache.commons.math3..")
                .check(MAIN);
    }

    @Test
    void auditorsDoNotDependOnTheProxy() {
        noClasses()
                .that()
                .haveSimpleName("Auditors")
                .or()
                .haveSimpleName("MetaProtocolDecoder")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("holdproxy.net..", "holdproxy.policy..")
                .check(MAIN);
    }

    @Test
    void consoleDependsOnNoOtherPackage() {
        classes()
                .that()
                .resideInAPackage("holdproxy.console")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("holdproxy.console", "io.netty..", "java..")
                .check(MAIN);
    }

    @Test
    void inputDependsOnPolicyOnly() {
        classes()
                .that()
                .resideInAPackage("holdproxy.input")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("holdproxy.input", "holdproxy.policy", "java.lang", "java.util")
                .check(MAIN);
    }

    @Test
    void packagesHaveNoCyclicDependencies() {
        slices().matching("holdproxy.(*)..").should().beFreeOfCycles().check(MAIN);
    }

    @Test
    void onlyTimeReadsTheClockInNet() {
        noClasses()
                .that()
                .resideInAPackage("holdproxy.net..")
                .and()
                .doNotHaveSimpleName("Time")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(MAIN);
    }
}
