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

/**
 * Tests the configuration reload on SIGHUP. A new discovery address is applied. A configuration
 * that cannot be read, or with a change that requires a restart, is rejected.
 */
@Timeout(120)
class ConfigurationReloadTest {
  /**
   * A configuration change that requires a restart, with the field name that the log line of the
   * rejected reload contains.
   */
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
   * The endpoint list of the new discovery service applies even if its sequence number is lower
   * than that of the last applied list.
   *
   * <p>At the end the test sends SIGHUP and SIGTERM, and expects the exit code of SIGTERM, 143. A
   * JVM without a handler for SIGHUP would exit at that signal, with another exit code.
   */
  @Test
  void aReloadWithANewDiscoveryAddressMovesTheWatchImmediately() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      SubmittedJob job = program.submit("/copy", "");
      HttpMessage watch = program.discovery().nextRequest();

      for (int sequence : new int[] {7, 3}) {
        try (StubHttpServer previous = program.moveDiscovery()) {
          previous.awaitClosed(watch.connection());
          HttpMessage completeListRequest = program.discovery().nextRequest();
          assertEquals("GET /registry/instances HTTP/1.1", completeListRequest.startLine());
          Health first = sequence == 7 ? Health.SERVING : Health.DRAINING;
          program
              .endpointList(sequence, Extent.COMPLETE, first, Health.SERVING)
              .respondTo(completeListRequest);
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

  /**
   * A file with a change that requires a restart may belong to another deployment. For this reason
   * its discovery address is not applied either.
   */
  @ParameterizedTest
  @EnumSource(RestartOnlyChange.class)
  void aReloadThatRequiresARestartIsRejectedCompletely(RestartOnlyChange change) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        StubHttpServer otherDiscovery = new StubHttpServer()) {
      HttpMessage watch = program.discovery().nextRequest();

      TestConfiguration movedConfiguration =
          program.configuration().discoveryAddress(otherDiscovery.address());
      program.reload(change.applyTo(movedConfiguration).toJson());

      String logged = program.awaitLog("configuration reload rejected");
      String reason =
          "the old configuration stays reason=restart required to change " + change.field;
      assertTrue(logged.endsWith(reason), logged);
      assertServesAsBefore(program, watch, "/issue");
      assertFalse(otherDiscovery.hasPendingRequest());
    }
  }

  @Test
  void aReloadOfAnInvalidConfigurationIsRejectedAndChangesNothing() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      HttpMessage watch = program.discovery().nextRequest();

      program.reload("{\"name\":");

      String logged = program.awaitLog("configuration reload rejected");
      assertTrue(logged.contains("the old configuration stays"));
      assertServesAsBefore(program, watch, "/copy");
    }
  }

  /**
   * Checks that the previous configuration is still in use. The dispatcher applies the response to
   * its pending poll, polls the same discovery service again from sequence number 42, and serves a
   * job.
   */
  private static void assertServesAsBefore(
      DispatcherProcess program, HttpMessage watch, String path) throws Exception {
    program.endpointList(42, Extent.COMPLETE, Health.SERVING).respondTo(watch);
    assertTrue(program.discovery().nextRequest().startLine().contains("?from=42&"));
    SubmittedJob job = program.submit(path, "");
    program.serveNextJob(0, "as before");
    assertEquals("as before", job.response().body());
  }
}
