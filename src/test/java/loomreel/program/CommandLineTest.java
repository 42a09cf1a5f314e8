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
import loomreel.program.harness.ProgramCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the commands of the program: exit codes, messages, and the classes that are loaded. */
@Timeout(120)
class CommandLineTest {
  /** A configuration that {@code serve} accepts. No service listens at the discovery address. */
  private static final String CONFIGURATION =
      """
      {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"memory_mb":192,"sockets":1024},
       "known":{"seq":1,"whole":true,"hosts":[]},
       "settings":{"RequestClasses":[{"Name":"copy","TargetS":1,"DeadlineS":2,"Repeat":"free"}]}}\
      """;

  @TempDir private Path directory;

  /**
   * Starts a command of the program in a JVM with the given flags. The environment variable
   * BALANCER_CONFIG names a file with {@link #CONFIGURATION}. Standard error is merged into
   * standard output.
   */
  private Process startCommand(List<String> flags, String... command) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(ProgramCommand.program(flags, command)).redirectErrorStream(true);
    builder.environment().put("BALANCER_CONFIG", file("configuration.json", CONFIGURATION));
    return builder.start();
  }

  /** Writes a file in the temporary directory and returns its path. */
  private String file(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  /**
   * Waits until a process exits, and returns a text with its exit code on the first line and its
   * output on the following lines.
   */
  private static String outcome(Process process) throws Exception {
    String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return process.waitFor() + "\n" + text;
  }

  @Test
  void allErrorsOfASettingsFileAreReported() throws Exception {
    String settingsFile =
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
      String outcome = outcome(startCommand(List.of(), command, settingsFile));
      assertTrue(outcome.startsWith("2\n"), outcome);
      assertTrue(outcome.contains("bad.cue:2:15: listen.http:"), outcome);
      assertTrue(outcome.contains("bad.cue:5:19: limits.attempts:"), outcome);
    }
  }

  @Test
  void theSampleSettingsFileIsValid() throws Exception {
    String outcome = outcome(startCommand(List.of(), "check", "deploy/loomreel.cue"));
    assertTrue(outcome.startsWith("0\n"), outcome);
  }

  @Test
  void aMissingSettingsFileIsReported() throws Exception {
    String outcome = outcome(startCommand(List.of(), "check", "nowhere.cue"));
    assertTrue(outcome.contains("there is no such file"), outcome);
  }

  @Test
  void anUnknownRequestClassOfAQueueIsReported() throws Exception {
    String features =
        file(
            "features.cue",
            "faktory: {listen: \"127.0.0.1:0\", queues: q: class: \"issue\", spool: \"none\"}\n");
    String outcome = outcome(startCommand(List.of(), "serve", "--settings", features));
    assertTrue(outcome.startsWith("2\n"), outcome);
    assertTrue(outcome.contains("faktory.queues.q.class: no class is called issue"), outcome);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{",
        "{}",
        "{\"listen\":\"nowhere\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\"}"
      })
  void aBadConfigurationIsReportedInOneLine(String configuration) throws Exception {
    Path file = Path.of(file("bad.json", configuration));
    for (String command : new String[] {"serve", "check-config"}) {
      Process process = ProgramCommand.of(file, command, "").start();
      String errors = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
      assertEquals(2, process.waitFor(), errors);
      assertEquals(1, errors.lines().count(), errors);
      assertTrue(errors.startsWith("loomreel: " + file), errors);
    }
  }

  /** Scripts may still use the names that commands had in earlier versions. */
  @ParameterizedTest
  @CsvSource({
    "benchlink, simulate",
    "mixed, chaos",
    "measure, benchmark",
    "rehearse, train-archive",
    "tally, trace-summary"
  })
  void aCommandIsFoundByItsFormerName(String formerName, String name) throws Exception {
    String outcome = outcome(startCommand(List.of(), "help", formerName));
    assertTrue(outcome.startsWith("0\nUsage: loomreel " + name), outcome);
  }

  /**
   * The command {@code rehearse}, an alias of {@code train-archive}, starts a dispatcher, sends it
   * 40 HTTP jobs of two request classes, and shuts the dispatcher down. To create the class data
   * sharing archive, the script {@code deploy/archive} runs {@code train-archive}, and the JVM
   * archives the classes that are loaded during this run.
   */
  @Test
  void classArchiveTrainingServesAllJobsAndExits() throws Exception {
    String outcome = outcome(startCommand(List.of(), "rehearse"));
    assertTrue(
        outcome.startsWith("0\n") && outcome.contains("accepted=40 served=40 rejected=0 failed=0"),
        outcome);
  }

  /** If the class data sharing archive is missing, the program starts without it. */
  @Test
  void aDispatcherWithoutAClassArchiveListensForClients() throws Exception {
    String missing = directory.resolve("none.jsa").toString();
    Process process = startCommand(List.of("-XX:SharedArchiveFile=" + missing), "serve");
    try (BufferedReader lines = process.inputReader()) {
      assertTrue(
          lines.lines().anyMatch(logLine -> logLine.contains("listening for clients")),
          "the process never listened");
    } finally {
      process.destroyForcibly().waitFor();
    }
  }

  /**
   * A start without {@code --settings} loads neither the classes of optional features nor those of
   * the command-line parser, because loading them would slow down the start. The second start
   * enables Faktory, to verify that the check finds optional classes that are loaded.
   */
  @Test
  void classesOfDisabledFeaturesAreNotLoaded() throws Exception {
    assertEquals(List.of(), loadedOptionalClasses(List.of("serve")));
    String features =
        file(
            "features.cue",
            "faktory: {listen: \"127.0.0.1:0\", queues: q: class: \"copy\", spool: \"none\"}\n");
    assertFalse(
        loadedOptionalClasses(List.of("serve", "--settings", features)).isEmpty(),
        "classes of an enabled feature must be found");
  }

  /**
   * Starts a command that runs a dispatcher, and returns the log lines about the loading of
   * optional classes, up to the moment at which the dispatcher listens for clients. Optional
   * classes belong to optional features, to the libraries of these features, or to the command-line
   * parser.
   */
  private List<String> loadedOptionalClasses(List<String> command) throws Exception {
    Process process =
        startCommand(List.of("-Xlog:class+load:stdout"), command.toArray(String[]::new));
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
      assertTrue(line != null, "the process never listened");
    } finally {
      process.destroyForcibly().waitFor();
    }
    return loaded;
  }
}
