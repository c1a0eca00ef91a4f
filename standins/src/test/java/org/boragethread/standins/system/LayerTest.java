package org.boragethread.standins.system;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.type;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.name;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import org.boragethread.wire.http.BufferedResponse;
import org.boragethread.wire.http.HttpConnectionPool;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests that inner layers do not depend on outer ones and that the core does no I/O itself. */
public final class LayerTest {

    private static final String ROOT = "org.boragethread.";

    private static final String GATEWAY = ROOT + "entry.gateway.";

    /** Classes that call upstreams, and count each call in {@code UpstreamNode}. */
    private static final List<String> UPSTREAM_CALLERS =
            List.of(GATEWAY + "UpstreamAttempt", GATEWAY + "HttpBatchClient");

    /** Classes that call other entries, or this process itself to load classes. */
    private static final List<String> PEER_CALLERS =
            List.of(
                    GATEWAY + "PeerClient",
                    GATEWAY + "PeerTopicClient",
                    GATEWAY + "RolloutReportClient",
                    GATEWAY + "StreamOriginClient",
                    GATEWAY + "LoadClassesCommand");

    private JavaClasses mClasses;

    @BeforeClass
    public void importClasses() {
        mClasses =
                new ClassFileImporter()
                        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                        .importPackages("org.boragethread");
    }

    @Test
    public void innerLayersDoNotUseOuterOnes() {
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("org.boragethread..")
                .layer("model")
                .definedBy(ROOT + "model..")
                .layer("core")
                .definedBy(ROOT + "core..")
                .layer("transport")
                .definedBy(ROOT + "wire..", ROOT + "platform..", ROOT + "process..")
                .layer("programs")
                .definedBy(ROOT + "agent..", ROOT + "entry..")
                .layer("standins")
                .definedBy(ROOT + "standins..")
                .whereLayer("standins")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("programs")
                .mayOnlyBeAccessedByLayers("standins")
                .whereLayer("transport")
                .mayOnlyBeAccessedByLayers("programs", "standins")
                .whereLayer("core")
                .mayOnlyBeAccessedByLayers("transport", "programs", "standins")
                .check(mClasses);
    }

    @Test
    public void agentAndEntryDoNotUseEachOther() {
        noClasses()
                .that()
                .resideInAPackage(ROOT + "agent..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage(ROOT + "entry..")
                .check(mClasses);
        noClasses()
                .that()
                .resideInAPackage(ROOT + "entry..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage(ROOT + "agent..")
                .check(mClasses);
    }

    @Test
    public void coreUsesNoSocketsAndNoLibrariesThatDo() {
        noClasses()
                .that()
                .resideInAnyPackage(ROOT + "core..", ROOT + "model..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..", "java.nio.channels..", "io.netty..", "org.glassfish..")
                .check(mClasses);
    }

    @Test
    public void coreStartsNoThreads() {
        noClasses()
                .that()
                .resideInAnyPackage(ROOT + "core..", ROOT + "model..")
                .should()
                .callConstructor(Thread.class, Runnable.class)
                .orShould()
                .callConstructor(Thread.class)
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.concurrent.Executors")
                .check(mClasses);
    }

    // Guards against a new kind of call to upstreams that is not counted against their limits.
    @Test
    public void callsAreSentOnlyWhereTheyAreCounted() {
        noClasses()
                .that()
                .resideInAPackage(ROOT + "entry.gateway..")
                .and(not(belongToAnyOf(UPSTREAM_CALLERS)))
                .and(not(belongToAnyOf(PEER_CALLERS)))
                .should()
                .callMethodWhere(
                        target(owner(type(HttpConnectionPool.class))).and(target(name("send"))))
                .orShould()
                .callMethodWhere(
                        target(owner(type(BufferedResponse.class))).and(target(name("fetch"))))
                .check(mClasses);
    }

    private static DescribedPredicate<JavaClass> belongToAnyOf(List<String> names) {
        return DescribedPredicate.describe(
                "belong to any of " + names,
                type -> names.stream().anyMatch(type.getName()::startsWith));
    }

    @Test
    public void coreTakesTimeFromItsClockOnly() {
        noClasses()
                .that()
                .resideInAnyPackage(ROOT + "core..", ROOT + "model..")
                .and()
                .resideOutsideOfPackage(ROOT + "core.time..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(mClasses);
    }
}
