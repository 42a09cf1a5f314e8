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
 * Tests the configuration reload on SIGHUP. The dispatcher applies a new discovery address. It
 * rejects a configuration that it cannot read, or that contains a change that requires a restart.
 */
@Timeout(120)
class ConfigurationReloadTest {
  /**
   * A configuration change that requires a restart. If a reload is rejected because of the change,
   * the log line contains the name of the changed field.
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

    /** Changes the configuration in place and returns it. */
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
   * Discovery moves twice. Each time the dispatcher requests and applies the complete endpoint list
   * of the new discovery service. It applies the second list although this list has a lower
   * sequence number (3) than the first list (7).
   *
   * <p>At the end the test sends SIGHUP and SIGTERM. It expects exit code 143, which stands for
   * SIGTERM. Without a handler for SIGHUP, the JVM would exit with another code as soon as it
   * receives SIGHUP.
   */
  @Test
  void aReloadWithANewDiscoveryAddressMovesTheWatchImmediately() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      SubmittedJob job = program.submit("/copy", "");
      HttpMessage poll = program.discovery().nextRequest();

      for (int sequence : new int[] {7, 3}) {
        try (StubHttpServer previous = program.moveDiscovery()) {
          previous.awaitClosed(poll.connection());
          HttpMessage completeListRequest = program.discovery().nextRequest();
          assertEquals("GET /registry/instances HTTP/1.1", completeListRequest.startLine());
          Health first = sequence == 7 ? Health.SERVING : Health.DRAINING;
          program
              .endpointList(sequence, Extent.COMPLETE, first, Health.SERVING)
              .respondTo(completeListRequest);
          poll = program.discovery().nextRequest();
          assertTrue(poll.startLine().contains("?from=" + sequence + "&"), poll.startLine());
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
   * The new configuration contains a new discovery address and a change that requires a restart. A
   * configuration with a change that requires a restart may belong to another deployment. The
   * dispatcher therefore does not apply the discovery address either.
   */
  @ParameterizedTest
  @EnumSource(RestartOnlyChange.class)
  void aReloadThatRequiresARestartIsRejectedCompletely(RestartOnlyChange change) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        StubHttpServer otherDiscovery = new StubHttpServer()) {
      HttpMessage poll = program.discovery().nextRequest();

      TestConfiguration movedConfiguration =
          program.configuration().discoveryAddress(otherDiscovery.address());
      program.reload(change.applyTo(movedConfiguration).toJson());

      String logged = program.awaitLog("configuration reload rejected");
      String reason =
          "the old configuration stays reason=restart required to change " + change.field;
      assertTrue(logged.endsWith(reason), logged);
      assertServesAsBefore(program, poll, "/issue");
      assertFalse(otherDiscovery.hasPendingRequest());
    }
  }

  @Test
  void aReloadOfAnInvalidConfigurationIsRejectedAndChangesNothing() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      HttpMessage poll = program.discovery().nextRequest();

      program.reload("{\"name\":");

      String logged = program.awaitLog("configuration reload rejected");
      assertTrue(logged.contains("the old configuration stays"));
      assertServesAsBefore(program, poll, "/copy");
    }
  }

  /**
   * Checks that the previous configuration is still in use. The method answers the pending poll of
   * the dispatcher with an endpoint list. The dispatcher has to apply the list, poll the same
   * discovery service again from sequence number 42, and serve a job.
   *
   * @param poll the pending poll
   * @param path the target of the job
   */
  private static void assertServesAsBefore(DispatcherProcess program, HttpMessage poll, String path)
      throws Exception {
    program.endpointList(42, Extent.COMPLETE, Health.SERVING).respondTo(poll);
    assertTrue(program.discovery().nextRequest().startLine().contains("?from=42&"));
    SubmittedJob job = program.submit(path, "");
    program.serveNextJob(0, "as before");
    assertEquals("as before", job.response().body());
  }
}
