package loomreel.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import loomreel.decision.Action;
import loomreel.decision.RejectionReason;
import org.junit.jupiter.api.Test;

/** Tests the JSON that {@link ActionWriter} writes for each type of action. */
class ActionWriterTest {
  /** One action of each type, with the JSON object that is written for the action. */
  private static final Map<Action, String> JSON_BY_ACTION =
      Map.of(
          new Action.StartAttempt("r", "w", 1_500_000, Long.MAX_VALUE),
          "{\"kind\":\"Issue\",\"MsgId\":\"r\",\"Executor\":\"w\",\"CapS\":1.5}",
          new Action.CancelAttempt("r", 2),
          "{\"kind\":\"Abandon\",\"MsgId\":\"r\",\"Leg\":2}",
          new Action.Reject("r", 250_000, RejectionReason.QUOTA_EXCEEDED),
          "{\"kind\":\"Refuse\",\"MsgId\":\"r\",\"HoldOffS\":0.25}",
          new Action.Fail("r", RejectionReason.CLIENT_DEADLINE),
          "{\"kind\":\"RespondError\",\"MsgId\":\"r\"}",
          new Action.CheckHealth("w"),
          "{\"kind\":\"HealthCheck\",\"Executor\":\"w\"}",
          new Action.SetTimer(2_000_000, 7),
          "{\"kind\":\"Remind\",\"AlarmTimeS\":2.0,\"KeyBack\":7}",
          new Action.PollEndpoints(),
          "{\"kind\":\"Observe\",\"Want\":true}",
          new Action.Log("text"),
          "{\"kind\":\"Remark\",\"Words\":\"text\"}");

  /** A call of a method of an {@link ActionWriter}. */
  private interface WriterCall {
    void writeTo(ActionWriter writer) throws IOException;
  }

  /** Returns the JSON that a call writes. */
  private static String write(WriterCall call) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
      call.writeTo(new ActionWriter(json));
    }
    return text.toString();
  }

  @Test
  void eachActionIsWrittenWithTheNamesOfTheProtocol() throws IOException {
    for (Map.Entry<Action, String> entry : JSON_BY_ACTION.entrySet()) {
      assertEquals(entry.getValue(), write(writer -> writer.write(entry.getKey())));
    }

    Set<Class<?>> writtenTypes =
        JSON_BY_ACTION.keySet().stream().map(Action::getClass).collect(Collectors.toSet());
    assertEquals(Set.of(Action.class.getPermittedSubclasses()), writtenTypes);
  }

  @Test
  void aTimeoutOrRetryDelayOfZeroIsOmitted() throws IOException {
    Action attemptWithoutTimeout = new Action.StartAttempt("r", "w", 0, Long.MAX_VALUE);
    Action rejectionWithoutRetryDelay = new Action.Reject("r", 0, RejectionReason.QUOTA_EXCEEDED);

    assertEquals(
        "{\"kind\":\"Issue\",\"MsgId\":\"r\",\"Executor\":\"w\"}",
        write(writer -> writer.write(attemptWithoutTimeout)));
    assertEquals(
        "{\"kind\":\"Refuse\",\"MsgId\":\"r\"}",
        write(writer -> writer.write(rejectionWithoutRetryDelay)));
  }

  @Test
  void anExceptionOfThePolicyIsWrittenAsFatal() throws IOException {
    assertEquals(
        "{\"kind\":\"Fatal\",\"Words\":\"java.lang.IllegalStateException: why\"}",
        write(writer -> writer.writeFailure(new IllegalStateException("why"))));
  }
}
