package loomreel.arch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Arrays;
import java.util.Calendar;
import java.util.Date;
import java.util.Random;
import java.util.Scanner;
import java.util.Set;
import java.util.Timer;
import java.util.TimerTask;
import java.util.stream.Collectors;
import loomreel.decision.Action;

/** Arrows between packages go one way. */
@AnalyzeClasses(packages = "loomreel", importOptions = ImportOption.DoNotIncludeTests.class)
class ArrowsTest {
  /** The decision module depends on no other package. */
  @ArchTest static final ArchRule DECISION = knowsOnly("decision");

  @ArchTest static final ArchRule LOOP = knowsOnly("io");

  /** Protocols depend on the core; the core depends on no protocol. */
  @ArchTest static final ArchRule CORE = knowsOnly("core", "decision", "io");

  @ArchTest static final ArchRule HTTP = knowsOnly("http", "io", "decision");

  @ArchTest
  static final ArchRule INGRESS =
      knowsOnly("ingress", "http", "io", "core", "config", "decision", "upstream");

  @ArchTest
  static final ArchRule UPSTREAM =
      knowsOnly("upstream", "http", "io", "core", "config", "decision", "discovery");

  @ArchTest
  static final ArchRule DISCOVERY =
      knowsOnly("discovery", "http", "io", "core", "config", "decision");

  @ArchTest static final ArchRule ADMIN = knowsOnly("admin", "http", "io", "process");

  @ArchTest
  static final ArchRule FAKTORY = knowsOnly("faktory", "io", "wal", "core", "decision", "settings");

  @ArchTest static final ArchRule FAKTORY_PROTOCOL = knowsOnly("faktory.protocol", "io");

  /** Jobs and their order are computed without I/O, clock, settings or dispatcher. */
  @ArchTest static final ArchRule FAKTORY_QUEUE = knowsOnly("faktory.queue");

  @ArchTest
  static final ArchRule FAKTORY_QUEUE_HAS_NO_IO =
      noClasses()
          .that()
          .resideInAPackage("loomreel.faktory.queue..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.io..", "java.net..", "java.nio..", "java.time..", "com.fasterxml..");

  @ArchTest
  static final ArchRule FAKTORY_PAYLOAD =
      knowsOnly("faktory.payload", "faktory.protocol", "faktory.queue", "core", "io", "settings");

  @ArchTest
  static final ArchRule FAKTORY_STORAGE =
      knowsOnly(
          "faktory.storage",
          "faktory.protocol",
          "faktory.payload",
          "faktory.queue",
          "wal",
          "io",
          "settings");

  @ArchTest
  static final ArchRule FAKTORY_WORKER =
      knowsOnly(
          "faktory.worker",
          "faktory.protocol",
          "faktory.payload",
          "core",
          "decision",
          "io",
          "settings");

  @ArchTest
  static final ArchRule FAKTORY_SCHEDULING =
      knowsOnly(
          "faktory.scheduling",
          "faktory.payload",
          "faktory.queue",
          "faktory.storage",
          "core",
          "decision",
          "io",
          "settings");

  @ArchTest
  static final ArchRule NO_CIRCLES_IN_FAKTORY =
      slices().matching("loomreel.faktory.(*)..").should().beFreeOfCycles();

  @ArchTest static final ArchRule WAL = knowsOnly("wal");

  @ArchTest static final ArchRule PROCESS = knowsOnly("process", "http", "io", "core", "decision");

  @ArchTest static final ArchRule SETTINGS = knowsOnly("settings", "config", "decision");

  @ArchTest static final ArchRule TRACING = knowsOnly("tracing");

  /** Stubs are written from the published protocols, not with the code that they test. */
  @ArchTest static final ArchRule STANDIN = knowsOnly("standin");

  @ArchTest static final ArchRule CHAOS = knowsOnly("chaos", "standin");

  @ArchTest static final ArchRule BENCHMARK = knowsOnly("benchmark", "standin");

  @ArchTest static final ArchRule TRAINING = knowsOnly("training", "standin");

  @ArchTest
  static final ArchRule NO_CIRCLES = slices().matching("loomreel.(*)..").should().beFreeOfCycles();

  /** Decisions are taken in one place: protocols execute actions and create none. */
  @ArchTest
  static final ArchRule ACTIONS_ARE_CREATED_BY_THE_DECISION_MODULE =
      noClasses()
          .that()
          .resideOutsideOfPackage("loomreel.decision..")
          .should()
          .accessTargetWhere(
              new DescribedPredicate<JavaAccess<?>>("constructs an Action") {
                @Override
                public boolean test(JavaAccess<?> access) {
                  return access.getTargetOwner().isAssignableTo(Action.class)
                      && access.getName().equals("<init>");
                }
              });

  /** No I/O, no clock and no threads: everything else of the platform is forbidden. */
  @ArchTest
  static final ArchRule DECISION_USES_COLLECTIONS_AND_ARITHMETIC_ONLY =
      classes()
          .that()
          .resideInAPackage("loomreel.decision..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage(
              "loomreel.decision..",
              "java.lang",
              "java.lang.invoke",
              "java.lang.runtime",
              "java.util",
              "java.util.function",
              "java.util.stream");

  /**
   * What the packages that the decision module may use offer of I/O, clocks, threads and chance.
   */
  @ArchTest
  static final ArchRule DECISION_USES_NO_IO_CLOCK_OR_THREAD =
      noClasses()
          .that()
          .resideInAPackage("loomreel.decision..")
          .should()
          .dependOnClassesThat()
          .belongToAnyOf(
              System.class,
              Thread.class,
              ThreadGroup.class,
              ThreadLocal.class,
              Process.class,
              ProcessBuilder.class,
              Runtime.class,
              Timer.class,
              TimerTask.class,
              Date.class,
              Calendar.class,
              Scanner.class,
              Random.class)
          .orShould()
          .callMethod(Math.class, "random");

  private static ArchRule knowsOnly(String name, String... others) {
    Set<String> allowed =
        Arrays.stream(others).map(o -> "loomreel." + o).collect(Collectors.toSet());
    allowed.add("loomreel." + name);
    return classes()
        .that()
        .resideInAPackage("loomreel." + name + "..")
        .should()
        .onlyDependOnClassesThat(
            new DescribedPredicate<JavaClass>("are outside loomreel or in " + allowed) {
              @Override
              public boolean test(JavaClass other) {
                String in = other.getPackageName();
                return !in.startsWith("loomreel")
                    || allowed.stream().anyMatch(a -> in.equals(a) || in.startsWith(a + "."));
              }
            });
  }
}
