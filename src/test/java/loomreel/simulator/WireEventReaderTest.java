package loomreel.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.decision.WorkerLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how {@link WireEventReader} converts events that were read from JSON to typed records. */
class WireEventReaderTest {
  private static WireEvent read(String kind, Map<String, Object> fields)
      throws MalformedBatchException {
    return WireEventReader.read(new WireObject(kind, fields));
  }

  /**
   * Reads the arrival of a request with these flags. The request names no tenant, because its field
   * {@code Owner} is not a string. The field {@code WeightHintS} is always present. It states the
   * expected work.
   */
  private static WireEvent.RequestReceived readRequest(int flags) throws MalformedBatchException {
    Map<String, Object> fields =
        Map.of(
            "MsgId",
            "00aa",
            "Type",
            "c",
            "DueS",
            15.5,
            "Marks",
            flags,
            "WeightHintS",
            0.25,
            "Owner",
            0);
    return (WireEvent.RequestReceived) read("Inbound", fields);
  }

  @ParameterizedTest
  @CsvSource({
    // outcomeCode, outcome
    "0, OK",
    "5, ERROR",
    "11, REJECTED",
    "104, RESET",
    "110, TIMEOUT",
    "111, CONNECT_FAILED",
    "114, NOT_ATTEMPTED",
    "125, CANCELLED"
  })
  void outcomeCodesAreErrnoValues(int outcomeCode, AttemptOutcome outcome) throws Exception {
    WireEvent event =
        read("StatusBack", Map.of("Executor", "e.a", "How", outcomeCode, "TookS", 0.5));

    assertEquals(new WireEvent.HealthCheckCompleted("e.a", outcome, 500_000, null), event);
  }

  @Test
  void anUnknownOutcomeThrowsMalformedBatchException() {
    MalformedBatchException failure =
        assertThrows(
            MalformedBatchException.class,
            () -> read("StatusBack", Map.of("Executor", "e.a", "How", 7)));

    assertEquals("StatusBack with unknown outcome 7", failure.getMessage());
  }

  @Test
  void flagBitsSelectExpectedWorkAndClientRetry() throws Exception {
    assertTrue(Double.isNaN(readRequest(0).expectedWorkMicros()));
    assertEquals(250_000, readRequest(1).expectedWorkMicros());
    assertEquals(false, readRequest(1).clientRetry());
    assertEquals(true, readRequest(2).clientRetry());
    assertTrue(Double.isNaN(readRequest(2).expectedWorkMicros()));
    assertEquals(true, readRequest(3).clientRetry());
  }

  @Test
  void aRequestWithoutOptionalFieldsHasDefaults() throws Exception {
    WireEvent.RequestReceived request = readRequest(0);

    assertEquals(null, request.key());
    assertEquals(1, request.slots());
    assertEquals(null, request.tenantName());
    assertEquals(15_500_000, request.deadlineMicros());
  }

  @Test
  void onlyUpdatesForStartAndProgressAreReported() throws Exception {
    WireEvent progress = new WireEvent.AttemptProgressReported("00aa", 1);
    Map<String, Object> fields = new HashMap<>(Map.of("MsgId", "00aa", "Leg", 1));
    for (int updateType : new int[] {1, 2}) {
      fields.put("Sort", updateType);
      assertEquals(progress, read("UpdateOf", fields));
    }
    assertEquals(new WireEvent.Ignored(), read("UpdateOf", Map.of("Sort", 3)));
  }

  @Test
  void absentFieldsOfALoadReportAreNan() throws Exception {
    Map<String, Object> fields =
        Map.of(
            "MsgId",
            "00aa",
            "Executor",
            "e.a",
            "How",
            0,
            "Leg",
            1,
            "Finished",
            true,
            "Usage",
            Map.of("depth", 3, "x0", 2));
    WireEvent expected =
        new WireEvent.AttemptCompleted(
            "00aa",
            1,
            "e.a",
            AttemptOutcome.OK,
            true,
            0,
            new WorkerLoad(3, Double.NaN, Double.NaN, 2));
    assertEquals(expected, read("ReportBack", fields));
  }

  @Test
  void anEndpointWithoutOptionalFieldsHasDefaults() throws Exception {
    List<Object> endpointObjects = List.of(Map.of("Executor", "e.a", "Health", "quiescing"));
    WireEvent expected =
        new WireEvent.EndpointListDefined(
            2, List.of(new Endpoint("e.a", "", "", -1, Endpoint.State.DRAINING, 0, 1)));
    assertEquals(expected, read("DefineList", Map.of("RosterId", 2, "Items", endpointObjects)));
  }

  @Test
  void everyFieldOfARequestIsRead() throws Exception {
    Map<String, Object> fields =
        Map.of(
            "MsgId",
            "00aa",
            "Resource",
            "program",
            "CoresNeeded",
            2,
            "Type",
            "class",
            "Owner",
            "tenant",
            "DueS",
            15.5,
            "Marks",
            3,
            "WeightHintS",
            0.25);

    WireEvent event = read("Inbound", fields);

    assertEquals(
        new WireEvent.RequestReceived(
            "00aa", "program", 2, "class", "tenant", 15_500_000, true, 250_000),
        event);
  }

  @Test
  void everyFieldOfAnEndpointIsRead() throws Exception {
    Map<String, Object> endpointFields =
        Map.of(
            "Executor", "e.a",
            "Az", "zone",
            "Kind", "kind",
            "Pod", 3,
            "Health", "live",
            "CameUpS", 2.5,
            "Scale", 1.5);

    WireEvent event = read("DefineList", Map.of("RosterId", 2, "Items", List.of(endpointFields)));

    Endpoint expected =
        new Endpoint("e.a", "zone", "kind", 3, Endpoint.State.READY, 2_500_000, 1.5);
    assertEquals(new WireEvent.EndpointListDefined(2, List.of(expected)), event);
  }

  @Test
  void everyFieldOfALoadReportIsRead() throws Exception {
    Map<String, Object> reportFields =
        Map.of("depth", 3, "concurrent", 5, "load_share", 0.5, "x0", 2);

    WireEvent event =
        read(
            "StatusBack", Map.of("Executor", "e.a", "How", 0, "TookS", 0.5, "Usage", reportFields));

    assertEquals(
        new WireEvent.HealthCheckCompleted(
            "e.a", AttemptOutcome.OK, 500_000, new WorkerLoad(3, 5, 0.5, 2)),
        event);
  }

  @Test
  void everyKindWithoutATestOfItsOwnIsReadAsItsRecord() throws Exception {
    Map<String, Object> settings = Map.of("TickS", 0.004);
    Map<WireEvent, WireEvent> readEventByExpectedEvent =
        Map.of(
            new WireEvent.DispatcherStarted(9, settings),
            read("Up", Map.of("Nonce64", 9, "Setup", settings)),
            new WireEvent.DispatcherStopped(),
            read("Stop", Map.of()),
            new WireEvent.EndpointSnapshotReceived(2),
            read("Members", Map.of("Scope", "total", "RosterId", 2)),
            new WireEvent.EndpointSnapshotReceived(3),
            read("Members", Map.of("Scope", "warm_copy", "RosterId", 3)),
            new WireEvent.EndpointUpdateReceived(2),
            read("Members", Map.of("Scope", "incr", "RosterId", 2)),
            new WireEvent.EndpointWatchLost(),
            read("Members", Map.of("Scope", "lost")),
            new WireEvent.RequestCancelledByClient("00aa"),
            read("Withdrawn", Map.of("MsgId", "00aa")),
            new WireEvent.AttemptProgressReported("00aa", 1),
            read("Started", Map.of("MsgId", "00aa", "Leg", 1)),
            new WireEvent.TimerElapsed(7),
            read("TickDue", Map.of("KeyBack", 7)),
            new WireEvent.Ignored(),
            read("Memo", Map.of()));

    readEventByExpectedEvent.forEach((expected, event) -> assertEquals(expected, event));
  }
}
