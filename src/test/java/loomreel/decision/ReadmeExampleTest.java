package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the code example of README.md. */
class ReadmeExampleTest {
  private static final Path SOURCE =
      Path.of("src/test/java/loomreel/decision/ReadmeExampleTest.java");
  private static final Path README = Path.of("README.md");

  /**
   * Verifies that the example starts an attempt at the only worker. The two comments in this method
   * mark the start and the end of the example. {@link #theReadmeContainsTheExample} searches this
   * file for these markers and compares the text between them with README.md. The markers must not
   * be changed, and no other text in front of the example may equal a marker.
   */
  @Test
  void theExampleSendsTheRequestToTheOnlyWorker() {
    // example
    Settings.RequestClass debit =
        new Settings.RequestClass(
            "debit",
            null,
            0,
            2,
            1_000_000,
            5_000_000,
            1,
            0,
            Idempotency.NON_IDEMPOTENT,
            DeduplicationScope.ALL,
            0);
    Settings settings =
        Settings.builder()
            .zone("hall")
            .classes(List.of(debit))
            .rules(new Settings.Rules(500_000, 0, 0.2, 20_000_000, 3, 2_000_000))
            .limits(new Settings.Limits(5, false, true, false, false, 0))
            .loadReporting(Settings.LoadReporting.WITH_ANSWERS)
            .reportsJobStart(true)
            .build();
    DispatchPolicy policy = new DispatchPolicy();
    List<Action> actions = new ArrayList<>();
    policy.on(new Event.Start(42, settings), 0, actions);
    policy.on(
        new Event.EndpointSnapshot(
            List.of(new Endpoint("w1", "hall", "std", 0, Endpoint.State.READY, 0, 1))),
        0,
        actions);
    policy.on(
        new Event.RequestArrived("r1", "ledger-7", 1, 0, -1, 5_000_000, false, Double.NaN),
        10,
        actions);
    // end
    assertTrue(actions.contains(new Action.StartAttempt("r1", "w1", 0, Long.MAX_VALUE)));
  }

  @Test
  void theReadmeContainsTheExample() throws IOException {
    String example = textBetween(Files.readString(SOURCE), "// example", "    // end");
    String readmeBlock = textBetween(Files.readString(README), "```java", "```");

    assertEquals(example.stripTrailing().stripIndent().strip(), readmeBlock.strip());
  }

  private static String textBetween(String text, String start, String end) {
    int startIndex = text.indexOf(start) + start.length();
    return text.substring(startIndex, text.indexOf(end, startIndex));
  }
}
