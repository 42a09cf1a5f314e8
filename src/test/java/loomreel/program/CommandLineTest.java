package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Commands, their exit codes, and what they load. */
@Timeout(120)
class CommandLineTest {
  private static final String PLATFORM =
      """
      {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"memory_mb":192,"sockets":1024},
       "known":{"seq":1,"whole":true,"hosts":[]},
       "settings":{"RequestClasses":[{"Name":"copy","TargetS":1,"DeadlineS":2,"Repeat":"free"}]}}\
      """;
  @TempDir private Path directory;

  private Process run(List<String> flags, String... command) throws IOException {
    List<String> all =
        new ArrayList<>(List.of(ProcessHandle.current().info().command().orElse("java")));
    all.addAll(flags);
    all.addAll(List.of("-cp", System.getProperty("java.class.path"), "loomreel.cli.Main"));
    all.addAll(List.of(command));
    ProcessBuilder builder = new ProcessBuilder(all).redirectErrorStream(true);
    builder.environment().put("BALANCER_CONFIG", file("platform.json", PLATFORM));
    return builder.start();
  }

  private String file(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  private static String outcome(Process process) throws Exception {
    String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return process.waitFor() + "\n" + text;
  }

  @Test
  void aFileThatIsNoGoodEndsTheStartWithAllThatIsWrong() throws Exception {
    String bad =
        file(
            "bad.cue",
            """
            name: "n"
            listen: http: "x"
            classes: copy: {repeat: "free", target: "1s", deadline: "2s"}
            workers: w: address: "127.0.0.1:1"
            limits: attempts: 5
            """);
    for (String command : new String[] {"check", "daemon"}) {
      String outcome = outcome(run(List.of(), command, bad));
      assertTrue(outcome.startsWith("2\n"), outcome);
      assertTrue(
          outcome.contains("bad.cue:2:15: listen.http:")
              && outcome.contains("bad.cue:5:19: limits.attempts:"),
          outcome);
    }
    assertTrue(outcome(run(List.of(), "check", "deploy/loomreel.cue")).startsWith("0\n"));
    assertTrue(outcome(run(List.of(), "check", "nowhere.cue")).contains("there is no such file"));
    String features =
        file(
            "features.cue",
            "faktory: {listen: \"127.0.0.1:0\", queues: q: class: \"issue\", spool: \"none\"}\n");
    String outcome = outcome(run(List.of(), "serve", "--settings", features));
    assertTrue(
        outcome.startsWith("2\n")
            && outcome.contains("faktory.queues.q.class: no class is called issue"),
        outcome);
  }

  /** Pages, scripts and habits have the names of earlier versions. */
  @ParameterizedTest
  @CsvSource({
    "benchlink, simulate",
    "mixed, chaos",
    "measure, benchmark",
    "rehearse, train-archive",
    "tally, trace-summary"
  })
  void aCommandIsFoundByItsFormerName(String formerName, String name) throws Exception {
    String outcome = outcome(run(List.of(), "help", formerName));
    assertTrue(outcome.startsWith("0\nUsage: loomreel " + name), outcome);
  }

  /** What the archive of classes is made from: a start, jobs over every path, an end. */
  @Test
  void aRehearsalServesItsJobsAndEnds() throws Exception {
    String outcome = outcome(run(List.of(), "rehearse"));
    assertTrue(
        outcome.startsWith("0\n") && outcome.contains("accepted=40 served=40 rejected=0 failed=0"),
        outcome);
  }

  /** The build fills it; a machine where that failed must serve all the same. */
  @Test
  void aStartWithoutTheArchiveOfClassesServes() throws Exception {
    String missing = directory.resolve("none.jsa").toString();
    Process process = run(List.of("-XX:SharedArchiveFile=" + missing), "serve");
    try (BufferedReader lines = process.inputReader()) {
      assertTrue(
          lines.lines().anyMatch(l -> l.contains("listening for clients")), "it never listened");
    } finally {
      process.destroyForcibly().waitFor();
    }
  }

  /**
   * The platform's dispatcher is small: what is off is not even loaded, nor is what would make a
   * start slow, reading a command line that says nothing.
   */
  @Test
  void whatIsOffIsNotLoaded() throws Exception {
    assertEquals(List.of(), loaded(List.of("serve")));
    String features =
        file(
            "features.cue",
            "faktory: {listen: \"127.0.0.1:0\", queues: q: class: \"copy\", spool: \"none\"}\n");
    assertFalse(
        loaded(List.of("serve", "--settings", features)).isEmpty(), "the check itself sees them");
  }

  /** The classes of parts that are off by default, until it listens. */
  private List<String> loaded(List<String> command) throws Exception {
    Process process = run(List.of("-Xlog:class+load:stdout"), command.toArray(String[]::new));
    List<String> loaded = new ArrayList<>();
    try (BufferedReader lines = process.inputReader()) {
      String line = lines.readLine();
      while (line != null && !line.contains("listening for clients")) {
        if (line.contains("[class,load]")
            && line.matches(
                ".*\\]"
                    + " (loomreel\\.(faktory|settings|standin|chaos|benchmark|training)|org\\.antlr|com\\.networknt|ch\\.qos|org\\.slf4j|com\\.fasterxml\\.jackson\\.databind|picocli\\.CommandLine"
                    + " source).*")) {
          loaded.add(line);
        }
        line = lines.readLine();
      }
      assertTrue(line != null, "it never listened");
    } finally {
      process.destroyForcibly().waitFor();
    }
    return loaded;
  }
}
