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

/** Batches of the simulator's protocol, from input to reply. */
class SimulatorAdapterTest {
  private static final String SETUP =
      "{\"Balancers\":1,\"Discovery\":\"push\",\"Locality\":\"n\",\"TickS\":0.004,"
          + "\"HostTypes\":[\"k\"],\"Novelty\":{\"x\":[1]},\"Specifics\":{\"ClassKind\":[-1],\"TellsStart\":true},"
          + "\"RequestClasses\":[{\"Name\":\"c\",\"TargetS\":1,\"DeadlineS\":5,\"Repeat\":\"free\",\"Value\":1}],"
          + "\"PolicyLimits\":{\"MaxAttempts\":3,\"Cancelling\":true},\"Telemetry\":{\"How\":\"none\"},"
          + "\"Invariants\":{\"ColdFrom\":0.2,\"ColdS\":20,\"TipMultiple\":3,\"FallS\":2}}";
  private static final String LIST =
      "{\"kind\":\"DefineList\",\"RosterId\":2,\"Items\":[{\"Pod\":0,"
          + "\"Executor\":\"e.a\",\"CameUpS\":null,\"Health\":\"live\",\"Az\":\"n\",\"Kind\":\"k\",\"Scale\":1}]},"
          + "{\"kind\":\"Members\",\"Scope\":\"warm_copy\",\"Stamp\":1,\"RosterId\":2}";
  private static final String UP =
      "{\"kind\":\"Up\",\"Nonce64\":18446744073709551615,\"Setup\":" + SETUP + "}," + LIST;

  private static String batch(int number, double now, String events) {
    return "{\"SimTimeS\":"
        + now
        + ",\"batch\":"
        + number
        + ",\"parts\":[{\"I\":3,\"events\":["
        + events
        + "]}]}\n";
  }

  private static String inbound(String id) {
    return "{\"kind\":\"Inbound\",\"MsgId\":\""
        + id
        + "\",\"Resource\":null,\"CoresNeeded\":1,\"Type\":\"c\","
        + "\"Owner\":0,\"DueS\":15.5,\"Marks\":0,\"WeightHintS\":null,\"RamUnits\":null,\"New\":{}}";
  }

  private static String run(String input) throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out)
        .run();
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void anEmptyBatchIsAnsweredAndNoBatchIsNot() throws Exception {
    assertEquals("", run(""));
    assertEquals(
        "{\"batch\":1,\"parts\":[]}\n", run("{\"SimTimeS\":8.4,\"batch\":1,\"parts\":[]}\n"));
  }

  @Test
  void actionsAreWrittenInTheNamesOfTheWire() throws Exception {
    String out =
        run(
            batch(1, 10, UP)
                + batch(2, 10.5, inbound("00aa"))
                + batch(
                    3,
                    11,
                    "{\"kind\":\"ReportBack\",\"MsgId\":\"00aa\",\"Executor\":\"e.a\",\"How\":11,\"Leg\":0,"
                        + "\"TookS\":0.5,\"Remark\":null,\"Finished\":false,\"Usage\":null}"));

    List<String> lines = out.lines().toList();
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
  void aListNumberRefersToTheLastListDefinedBeforeIt() throws Exception {
    String other = LIST.replace("e.a", "e.b").replace("warm_copy", "total");

    String out = run(batch(1, 10, UP + "," + other) + batch(2, 10.5, inbound("00aa")));

    assertTrue(out.contains("\"Executor\":\"e.b\""), out);
  }

  @Test
  void aStopAndAStartInOneBatchResetTheDispatcher() throws Exception {
    String out =
        run(
            batch(1, 10, UP)
                + batch(2, 10.5, inbound("00aa"))
                + batch(3, 11, "{\"kind\":\"Stop\"}," + UP + "," + inbound("00ab")));

    assertTrue(out.lines().toList().get(2).contains("\"MsgId\":\"00ab\""), out);
  }

  @Test
  void aFailureOfThePolicyIsWrittenAsFatal() throws Exception {
    String out = run(batch(1, 10, UP) + batch(2, 9, inbound("00aa")));

    assertTrue(
        out.contains(
            "{\"kind\":\"Fatal\",\"Words\":\"java.lang.IllegalArgumentException: time runs"),
        out);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"SimTimeS\":1,                                        | malformed JSON",
        "[]                                                      | a batch is not an object",
        "{\"SimTimeS\":1,\"parts\":[]}                           | a batch without batch",
        "{\"SimTimeS\":\"x\",\"batch\":2,\"parts\":[]}           | SimTimeS is not a number",
        "{\"SimTimeS\":1,\"batch\":2,\"parts\":[{\"events\":[]}]}| a part without I",
        "{\"SimTimeS\":1,\"batch\":2,\"parts\":[{\"I\":3,\"events\":[{\"kind\":\"Odd\"}]}]}    |"
            + " unknown event Odd",
        "{\"SimTimeS\":11,\"batch\":2,\"parts\":[{\"I\":3,\"events\":[{\"kind\":\"TickDue\"}]}]} |"
            + " without KeyBack",
        "{\"SimTimeS\":11,\"batch\":2,\"parts\":[{\"I\":9,\"events\":[{\"kind\":\"Stop\"}]}]}  |"
            + " before its Up",
        "{\"SimTimeS\":11,\"batch\":2,\"parts\":[{\"I\":3,\"events\":[7]}]} | an event is not an"
            + " object"
      })
  void malformedInputIsReportedAndOnlyCompleteRepliesAreWritten(String line, String message) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] input = (batch(1, 10, UP) + line.strip() + "\n").getBytes(StandardCharsets.UTF_8);

    MalformedBatchException e =
        assertThrows(
            MalformedBatchException.class,
            () -> new SimulatorAdapter(new ByteArrayInputStream(input), out).run());

    assertTrue(e.getMessage().contains(message), e.getMessage());
    assertTrue(
        e.getMessage().contains("after batch 1") || e.getMessage().contains("in batch 2"),
        e.getMessage());
    assertEquals(
        "{\"batch\":1,\"parts\":[{\"I\":3,\"out\":[]}]}\n", out.toString(StandardCharsets.UTF_8));
  }

  @Test
  void equalEventsGiveEqualActions() throws Exception {
    StringBuilder input = new StringBuilder(batch(1, 10, UP));
    for (int i = 2; i < 200; i++) {
      input.append(batch(i, 10 + i / 100.0, inbound(String.format("%04x", i))));
    }
    assertEquals(run(input.toString()), run(input.toString()));
  }
}
