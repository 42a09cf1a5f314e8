package loomreel.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import loomreel.decision.WorkerLoad;
import loomreel.upstream.JobStatusUpdate.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that {@link JobStatusUpdate} parses the bodies of callbacks. */
class JobStatusUpdateTest {
  private static Optional<JobStatusUpdate> parse(String body) {
    return JobStatusUpdate.parse(body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void parseReadsAllFields() {
    JobStatusUpdate update =
        parse(
                """
                {"id": "a1", "from": "w0", "state": "done", "result": "grün",
                 "load": {"inflight": 3}}""")
            .orElseThrow();
    WorkerLoad load = new WorkerLoad(Double.NaN, 3, Double.NaN, Double.NaN);
    assertEquals(new JobStatusUpdate("a1", "w0", State.DONE, "grün", load), update);
  }

  @Test
  void parseAcceptsABodyWithoutResultAndLoad() {
    JobStatusUpdate update =
        parse("{\"id\": \"a1\", \"from\": \"w0\", \"state\": \"running\", \"result\": 5}")
            .orElseThrow();
    assertEquals("", update.result());
    assertNull(update.load());
  }

  @ParameterizedTest
  // The columns are the name of the state in the callback and the expected state.
  @CsvSource({
    "started, STARTED",
    "running, RUNNING",
    "done, DONE",
    "failed, FAILED",
    "returned, RETURNED",
    "killed, ABORTED",
    "DONE, ABORTED"
  })
  void parseMapsEachStateNameAndTreatsUnknownOnesAsAborted(String name, State state) {
    String body = "{\"id\": \"a1\", \"from\": \"w0\", \"state\": \"" + name + "\"}";
    assertEquals(state, parse(body).orElseThrow().state());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[]",
        "{\"id\": ",
        "{\"from\": \"w0\", \"state\": \"done\"}",
        "{\"id\": 1, \"from\": \"w0\", \"state\": \"done\"}",
        "{\"id\": \"a1\", \"state\": \"done\"}",
        "{\"id\": \"a1\", \"from\": \"w0\"}"
      })
  void parseReturnsEmptyForAMalformedOrIncompleteBody(String body) {
    assertTrue(parse(body).isEmpty());
  }
}
