package merlinrouter;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;

/** Checks that packages depend in one direction: from hosts to decisions to their model. */
@AnalyzeClasses(packages = "merlinrouter", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  @ArchTest
  void decisionsDoNotDependOnTheirHosts(JavaClasses classes) {
    noClasses()
        .that()
        .resideOutsideOfPackages("merlinrouter.node..", "merlinrouter.simulator..")
        .and()
        .doNotHaveFullyQualifiedName(Main.class.getName())
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("merlinrouter.node..", "merlinrouter.simulator..", "io.netty..")
        .check(classes);
  }

  @ArchTest
  void simulatorAdapterDoesNotDependOnTheNode(JavaClasses classes) {
    noClasses()
        .that()
        .resideInAPackage("merlinrouter.simulator..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("merlinrouter.node..", "io.netty..")
        .check(classes);
  }

  @ArchTest
  void packagesAreFreeOfCycles(JavaClasses classes) {
    slices().matching("merlinrouter.(*)..").should().beFreeOfCycles().check(classes);
  }

  @ArchTest
  void decisionModulesDoNotDependOnTheGateway(JavaClasses classes) {
    noClasses()
        .that()
        .resideInAnyPackage(
            "merlinrouter.control..",
            "merlinrouter.loadbalancing..",
            "merlinrouter.queue..",
            "merlinrouter.quota..",
            "merlinrouter.retry..",
            "merlinrouter.stats..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("merlinrouter.gateway..")
        .check(classes);
  }

  @ArchTest
  void packagesOfTheNodeAreFreeOfCycles(JavaClasses classes) {
    slices().matching("merlinrouter.node.(*)..").should().beFreeOfCycles().check(classes);
  }

  /** The warm-up and the life cycle of the process run nodes, so they may depend on the node. */
  @ArchTest
  void packagesOfTheNodeDoNotDependOnItsHost(JavaClasses classes) {
    noClasses()
        .that()
        .resideInAPackage("merlinrouter.node.*..")
        .and()
        .resideOutsideOfPackages("merlinrouter.node.warmup..", "merlinrouter.node.lifecycle..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("merlinrouter.node")
        .check(classes);
  }
}
