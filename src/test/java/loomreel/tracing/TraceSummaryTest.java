package loomreel.tracing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import loomreel.io.TraceWriter;
import loomreel.tracing.UnsuccessfulJob.LastAttempt;
import org.junit.jupiter.api.Test;

/** Tests that the summary counts the trace lines that a {@link TraceWriter} writes. */
class TraceSummaryTest {
  private static final long SECOND = 1_000_000;
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();

  /** The latency objective of a job is 200 ms plus twice the expected work of the job. */
  private final TraceSummary summary = new TraceSummary(200_000, 2);

  /** Adds the written lines. A prefix precedes each trace line, as may be the case in a log. */
  private void addAll(TraceWriter trace, String dispatcher) {
    trace.flush();
    log.toString(StandardCharsets.UTF_8)
        .lines()
        .map(line -> TraceLine.parse(dispatcher, "1.204 " + line).orElseThrow())
        .forEach(summary::add);
    log.reset();
  }

  private TraceWriter createTraceWriter() {
    return new TraceWriter(log);
  }

  @Test
  void jobsAreTrackedByDispatcherAndCountedOverTheFleet() {
    TraceWriter first = createTraceWriter();
    first.line(10 * SECOND, "start");
    first.line(10 * SECOND, "arrival", "id", "x", "work", 100_000.0);
    first.line(10 * SECOND, "send", "id", "x", "worker", "w1");
    // The latency objective of this job is 400 ms, so its answer after 500 ms is late.
    first.line(10 * SECOND + 500_000, "end", "id", "x", "worker", "w1", "outcome", "OK");
    first.line(11 * SECOND, "arrival", "id", "y", "work", 100_000.0);
    first.line(11 * SECOND + 50_000, "refuse", "id", "y", "why", "NO_ROOM_IN_TIME");
    addAll(first, "n0");
    TraceWriter second = createTraceWriter();
    second.line(10 * SECOND, "arrival", "id", "x", "work", Double.NaN);
    second.line(10 * SECOND, "send", "id", "x", "worker", "w1");
    second.line(10 * SECOND, "end", "id", "x", "worker", "w1", "outcome", "RESET");
    second.line(10 * SECOND, "send", "id", "x", "worker", "w2");
    second.line(12 * SECOND, "probe", "worker", "w1");
    // The dispatcher was killed and started again, so the jobs that are open here are lost.
    second.line(14 * SECOND, "start");
    second.line(14 * SECOND, "arrival", "id", "z");
    second.line(14 * SECOND, "refuse", "id", "z");
    second.line(15 * SECOND, "arrival", "id", "v");
    second.line(21 * SECOND, "listcall", "from", 41);
    addAll(second, "n1");

    summary.finish();

    assertEquals(3, summary.countsBySecond().get(10L).get("sends"));
    assertEquals(2, summary.countsByWorker().get("w1").get("sends"));
    assertEquals(1, summary.countsByWorker().get("w1").get("late"));
    assertEquals(1, summary.countsByWorker().get("w1").get("probes"));
    assertEquals(1, summary.countsBySecond().get(21L).get("list calls"));
    assertEquals(1, summary.countsBySecond().get(11L).get("why no room in time"));
    UnsuccessfulJob queued = summary.unsuccessfulJobs(JobEnd.REJECTED_WHILE_QUEUED).get(0);
    assertEquals("y", queued.id());
    assertEquals(Optional.of("no room in time"), queued.reason());
    assertEquals(Optional.empty(), queued.lastAttempt());
    assertEquals("z", summary.unsuccessfulJobs(JobEnd.REJECTED_ON_ARRIVAL).get(0).id());
    UnsuccessfulJob lost = summary.unsuccessfulJobs(JobEnd.LOST).get(1);
    assertEquals("x", lost.id());
    assertEquals(2, lost.attempts());
    assertEquals(Optional.of(new LastAttempt("w2", "RESET")), lost.lastAttempt());
    assertEquals(4 * SECOND, lost.durationMicros());
    assertEquals(
        "v",
        summary.unsuccessfulJobs(JobEnd.LOST).get(0).id(),
        "a job that is open for longer than any client waits is lost");
  }

  @Test
  void otherLogLinesAndTruncatedTraceLinesAreIgnored() {
    assertIgnored("1.2 2026-12-01T21:34:38Z INFO loomreel.server: n0 listens");
    assertIgnored("{\"at\":12,\"trace\":\"send\",\"id\":\"ab");
    assertIgnored("{\"at\":\"soon\",\"trace\":\"send\"}");
    assertIgnored("{\"at\":12,\"id\":\"ab\"}");
  }

  private static void assertIgnored(String logLine) {
    assertEquals(Optional.empty(), TraceLine.parse("n0", logLine));
  }
}
