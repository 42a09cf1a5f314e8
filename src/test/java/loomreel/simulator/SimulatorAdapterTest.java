package loomreel.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link SimulatorAdapter} with complete batches, from the input to the replies. */
class SimulatorAdapterTest {
  private static final String SETTINGS_JSON =
      "{\"Balancers\":1,\"Discovery\":\"push\",\"Locality\":\"n\",\"TickS\":0.004,"
          + "\"HostTypes\":[\"k\"],\"Novelty\":{\"x\":[1]},\"Specifics\":{\"ClassKind\":[-1],\"TellsStart\":true},"
          + "\"RequestClasses\":[{\"Name\":\"c\",\"TargetS\":1,\"DeadlineS\":5,\"Repeat\":\"free\",\"Value\":1}],"
          + "\"PolicyLimits\":{\"MaxAttempts\":3,\"Cancelling\":true},\"Telemetry\":{\"How\":\"none\"},"
          + "\"Invariants\":{\"ColdFrom\":0.2,\"ColdS\":20,\"TipMultiple\":3,\"FallS\":2}}";

  /** Events that define an endpoint list of one worker and deliver the list to a dispatcher. */
  private static final String ENDPOINT_LIST_EVENTS =
      "{\"kind\":\"DefineList\",\"RosterId\":2,\"Items\":[{\"Pod\":0,"
          + "\"Executor\":\"e.a\",\"CameUpS\":null,\"Health\":\"live\",\"Az\":\"n\",\"Kind\":\"k\",\"Scale\":1}]},"
          + "{\"kind\":\"Members\",\"Scope\":\"warm_copy\",\"Stamp\":1,\"RosterId\":2}";

  /** Events that start a dispatcher and deliver its first endpoint list. */
  private static final String START_EVENTS =
      "{\"kind\":\"Up\",\"Nonce64\":18446744073709551615,\"Setup\":"
          + SETTINGS_JSON
          + "},"
          + ENDPOINT_LIST_EVENTS;

  /** Returns the JSON of a batch that contains the events of a single dispatcher, number 3. */
  private static String batch(int batchNumber, double timeSeconds, String events) {
    return "{\"SimTimeS\":"
        + timeSeconds
        + ",\"batch\":"
        + batchNumber
        + ",\"parts\":[{\"I\":3,\"events\":["
        + events
        + "]}]}\n";
  }

  private static String requestEvent(String id) {
    return "{\"kind\":\"Inbound\",\"MsgId\":\""
        + id
        + "\",\"Resource\":null,\"CoresNeeded\":1,\"Type\":\"c\","
        + "\"Owner\":0,\"DueS\":15.5,\"Marks\":0,\"WeightHintS\":null,\"RamUnits\":null,\"New\":{}}";
  }

  /** Returns the output of a {@link SimulatorAdapter} that reads the input until it ends. */
  private static String run(String input) throws Exception {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), output)
        .run();
    return output.toString(StandardCharsets.UTF_8);
  }

  @Test
  void anEmptyBatchGetsAnEmptyReplyAndEmptyInputGetsNone() throws Exception {
    assertEquals("", run(""));
    assertEquals(
        "{\"batch\":1,\"parts\":[]}\n", run("{\"SimTimeS\":8.4,\"batch\":1,\"parts\":[]}\n"));
  }

  @Test
  void actionsAreWrittenWithTheNamesOfTheProtocol() throws Exception {
    String output =
        run(
            batch(1, 10, START_EVENTS)
                + batch(2, 10.5, requestEvent("00aa"))
                + batch(
                    3,
                    11,
                    "{\"kind\":\"ReportBack\",\"MsgId\":\"00aa\",\"Executor\":\"e.a\",\"How\":11,\"Leg\":0,"
                        + "\"TookS\":0.5,\"Remark\":null,\"Finished\":false,\"Usage\":null}"));

    List<String> lines = output.lines().toList();
    assertEquals(3, lines.size());
    assertEquals("{\"batch\":1,\"parts\":[{\"I\":3,\"out\":[]}]}", lines.get(0));
    assertTrue(
        lines.get(1).contains("{\"kind\":\"Issue\",\"MsgId\":\"00aa\",\"Executor\":\"e.a\"}"),
        lines.get(1));
    assertTrue(
        lines.get(1).contains("{\"kind\":\"Remind\",\"AlarmTimeS\":15.492,\"KeyBack\":2}"),
        lines.get(1));
    assertTrue(lines.get(2).startsWith("{\"batch\":3,"), lines.get(2));
  }

  @Test
  void anEndpointListIdRefersToTheLastDefinitionOfTheList() throws Exception {
    String secondListEvents =
        ENDPOINT_LIST_EVENTS.replace("e.a", "e.b").replace("warm_copy", "total");

    String output =
        run(
            batch(1, 10, START_EVENTS + "," + secondListEvents)
                + batch(2, 10.5, requestEvent("00aa")));

    assertTrue(output.contains("\"Executor\":\"e.b\""), output);
  }

  @Test
  void aStopAndAStartInOneBatchResetTheDispatcher() throws Exception {
    String output =
        run(
            batch(1, 10, START_EVENTS)
                + batch(2, 10.5, requestEvent("00aa"))
                + batch(3, 11, "{\"kind\":\"Stop\"}," + START_EVENTS + "," + requestEvent("00ab")));

    assertTrue(output.lines().toList().get(2).contains("\"MsgId\":\"00ab\""), output);
  }

  @Test
  void anExceptionOfThePolicyIsWrittenAsFatal() throws Exception {
    String output = run(batch(1, 10, START_EVENTS) + batch(2, 9, requestEvent("00aa")));

    assertTrue(
        output.contains(
            "{\"kind\":\"Fatal\",\"Words\":\"java.lang.IllegalArgumentException: time runs"),
        output);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        // line | message
        "{\"SimTimeS\":1,                                        | malformed JSON",
        "[]                                                      | batch is not a JSON object",
        "{\"SimTimeS\":1,\"parts\":[]}                           | batch lacks the field batch",
        "{\"SimTimeS\":\"x\",\"batch\":2,\"parts\":[]}           | SimTimeS is not a number",
        "{\"SimTimeS\":1,\"batch\":2,\"parts\":[{\"events\":[]}]}| part lacks the field I",
        "{\"SimTimeS\":1,\"batch\":2,\"parts\":[{\"I\":3,\"events\":[{\"kind\":\"Odd\"}]}]}    |"
            + " unknown event Odd",
        "{\"SimTimeS\":11,\"batch\":2,\"parts\":[{\"I\":3,\"events\":[{\"kind\":\"TickDue\"}]}]} |"
            + " lacks the field KeyBack",
        "{\"SimTimeS\":11,\"batch\":2,\"parts\":[{\"I\":9,\"events\":[{\"kind\":\"Stop\"}]}]}  |"
            + " before its Up event",
        "{\"SimTimeS\":11,\"batch\":2,\"parts\":[{\"I\":3,\"events\":[7]}]} | event is not a"
            + " JSON object"
      })
  void malformedInputIsReportedAndOnlyCompleteRepliesAreWritten(String line, String message) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    byte[] input =
        (batch(1, 10, START_EVENTS) + line.strip() + "\n").getBytes(StandardCharsets.UTF_8);

    MalformedBatchException e =
        assertThrows(
            MalformedBatchException.class,
            () -> new SimulatorAdapter(new ByteArrayInputStream(input), output).run());

    assertTrue(e.getMessage().contains(message), e.getMessage());
    assertTrue(
        e.getMessage().contains("after batch 1") || e.getMessage().contains("in batch 2"),
        e.getMessage());
    assertEquals(
        "{\"batch\":1,\"parts\":[{\"I\":3,\"out\":[]}]}\n",
        output.toString(StandardCharsets.UTF_8));
  }

  @Test
  void equalInputsGiveEqualReplies() throws Exception {
    StringBuilder input = new StringBuilder(batch(1, 10, START_EVENTS));
    for (int i = 2; i < 200; i++) {
      input.append(batch(i, 10 + i / 100.0, requestEvent(String.format("%04x", i))));
    }
    assertEquals(run(input.toString()), run(input.toString()));
  }
}
