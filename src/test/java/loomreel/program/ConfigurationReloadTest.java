package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.program.harness.EndpointList.Health;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.RequestClass;
import loomreel.program.harness.StubHttpServer;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** SIGHUP: a new address of discovery is applied, and any other change is rejected. */
@Timeout(120)
class ConfigurationReloadTest {
  /** A change that needs a restart, and the field that the log names. */
  private enum RestartOnlyChange {
    CLASS_NAME("settings"),
    POLL_INTERVAL("settings"),
    DESCRIPTOR_LIMIT("limits.sockets"),
    DISPATCHER_NAME("name");

    private final String field;

    RestartOnlyChange(String field) {
      this.field = field;
    }

    TestConfiguration applyTo(TestConfiguration configuration) {
      return switch (this) {
        case CLASS_NAME -> {
          RequestClass renamed = RequestClass.issue().withName("sell");
          yield configuration.requestClasses(RequestClass.copy(), renamed);
        }
        case POLL_INTERVAL -> configuration.discoveryPollIntervalSeconds(0.7);
        case DESCRIPTOR_LIMIT -> configuration.descriptorLimit(512);
        case DISPATCHER_NAME -> configuration.name("n1");
      };
    }
  }

  /**
   * The list of the new discovery applies even with a lower sequence number. A JVM without a
   * handler for SIGHUP would end at the signal, with another exit code.
   */
  @Test
  void aReloadMovesTheWatchAtOnce() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      SubmittedJob job = program.submit("/copy", "");
      HttpMessage watch = program.discovery().nextRequest();

      for (int sequence : new int[] {7, 3}) {
        try (StubHttpServer previous = program.moveDiscovery()) {
          previous.awaitClosed(watch.connection());
          HttpMessage complete = program.discovery().nextRequest();
          assertEquals("GET /registry/instances HTTP/1.1", complete.startLine());
          Health first = sequence == 7 ? Health.SERVING : Health.DRAINING;
          program
              .endpointList(sequence, Extent.COMPLETE, first, Health.SERVING)
              .respondTo(complete);
          watch = program.discovery().nextRequest();
          assertTrue(watch.startLine().contains("?from=" + sequence + "&"), watch.startLine());
          assertFalse(previous.hasPendingRequest());
        }
      }

      int worker = program.awaitWorkerWithRequest();
      program.worker(worker).nextRequest().connection().close();
      program.serveNextJob(1, "served");
      assertEquals("served", job.response().body());
      program.signal("HUP");
      program.signal("TERM");
      assertTrue(program.process().waitFor(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      assertEquals(143, program.process().exitValue());
    }
  }

  /** The file may be of another deployment: neither its settings nor its discovery apply. */
  @ParameterizedTest
  @EnumSource(RestartOnlyChange.class)
  void aReloadThatNeedsARestartIsRejectedAsAWhole(RestartOnlyChange change) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        StubHttpServer other = new StubHttpServer()) {
      HttpMessage watch = program.discovery().nextRequest();

      TestConfiguration moved = program.configuration().discoveryAddress(other.address());
      program.reload(change.applyTo(moved).toJson());

      String logged = program.awaitLog("configuration reload rejected");
      String reason =
          "the old configuration stays reason=restart required to change " + change.field;
      assertTrue(logged.endsWith(reason), logged);
      assertServesAsBefore(program, watch, "/issue");
      assertFalse(other.hasPendingRequest());
    }
  }

  @Test
  void anInvalidConfigurationChangesNothing() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      HttpMessage watch = program.discovery().nextRequest();

      program.reload("{\"name\":");

      String logged = program.awaitLog("configuration reload rejected");
      assertTrue(logged.contains("the old configuration stays"));
      assertServesAsBefore(program, watch, "/copy");
    }
  }

  private static void assertServesAsBefore(
      DispatcherProcess program, HttpMessage watch, String path) throws Exception {
    program.endpointList(42, Extent.COMPLETE, Health.SERVING).respondTo(watch);
    assertTrue(program.discovery().nextRequest().startLine().contains("?from=42&"));
    SubmittedJob job = program.submit(path, "");
    program.serveNextJob(0, "as before");
    assertEquals("as before", job.response().body());
  }
}
