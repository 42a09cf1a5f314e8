package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import loomreel.program.harness.DispatcherHarness;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.StepControlledServer;
import loomreel.program.harness.StubHttpServer;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Verifies that the dispatcher takes request classes, names and limits from the settings alone. The
 * tests use the project's own sample deployments, whose classes, names and limits differ from those
 * of the operators' deployments.
 */
@Timeout(120)
class SampleDeploymentsTest {
  /**
   * Returns the arguments of the tests: for each request class of each deployment, the name of the
   * deployment and the index of the class.
   */
  static Stream<Arguments> classes() throws IOException {
    List<Arguments> argumentsOfClasses = new ArrayList<>();
    for (String name : new String[] {"gentle", "tight"}) {
      for (int i = 0; i < new SampleDeployment(name).classes().size(); i++) {
        argumentsOfClasses.add(Arguments.of(name, i));
      }
    }
    return argumentsOfClasses.stream();
  }

  /** A job that a worker has received. */
  private record ReceivedJob(int worker, HttpMessage post) {
    /** Waits until any worker receives a job, and responds to health checks until then. */
    static ReceivedJob awaitNext(DispatcherHarness harness) throws Exception {
      while (true) {
        int worker = harness.awaitWorkerWithRequest();
        HttpMessage request = harness.worker(worker).nextRequest();
        if (request.startLine().startsWith("POST")) {
          return new ReceivedJob(worker, request);
        }
        request.respond(200, "TEXT inflight=0, queue=0, util=0.1, x0=4");
      }
    }
  }

  @ParameterizedTest
  @MethodSource("classes")
  void aJobOfEachClassIsServed(String name, int index) throws Exception {
    SampleDeployment deployment = new SampleDeployment(name);
    JsonNode requestClass = deployment.classes().get(index);
    try (StepControlledServer server = start(deployment)) {
      SubmittedJob job = submit(server, requestClass, "key");
      ReceivedJob received = ReceivedJob.awaitNext(server);

      assertEquals("key", received.post.header("Idempotency-Key"));
      assertServed(server, job, received, name);
      assertFalse(server.workers().stream().anyMatch(StubHttpServer::hasPendingJob));
    }
  }

  /** The {@code effect} of a class in the deployment's file says whether its jobs may run twice. */
  @ParameterizedTest
  @MethodSource("classes")
  void aJobIsRetriedAfterAResetIfItsClassAllowsIt(String name, int index) throws Exception {
    SampleDeployment deployment = new SampleDeployment(name);
    JsonNode requestClass = deployment.classes().get(index);
    try (StepControlledServer server = start(deployment)) {
      serveOneJob(server, requestClass, name);
      SubmittedJob job = submit(server, requestClass, "key");
      ReceivedJob first = ReceivedJob.awaitNext(server);
      assertEquals("key", first.post.header("Idempotency-Key"));

      first.post.connection().close();

      if (requestClass.get("effect").asText().equals("unsafe")) {
        assertEquals(500, job.response().status());
      } else {
        ReceivedJob second = ReceivedJob.awaitNext(server);
        assertTrue(second.worker != first.worker, "not to the same worker");
        assertServed(server, job, second, name);
      }
      assertFalse(server.workers().stream().anyMatch(StubHttpServer::hasPendingJob));
    }
  }

  @ParameterizedTest
  @MethodSource("classes")
  void aJobOfAnUnknownClassIsAnsweredWith404(String name, int index) throws Exception {
    SampleDeployment deployment = new SampleDeployment(name);
    JsonNode requestClass = deployment.classes().get(index);
    try (StepControlledServer server = start(deployment)) {
      serveOneJob(server, requestClass, name);

      SubmittedJob jobOfUnknownClass = server.submit("/copy", "");

      assertEquals(404, jobOfUnknownClass.response().status());
      assertFalse(server.workers().stream().anyMatch(StubHttpServer::hasPendingJob));
    }
  }

  private static StepControlledServer start(SampleDeployment deployment) throws Exception {
    return new StepControlledServer(
        3, new TestConfiguration().deploymentSettings(deployment.settings()));
  }

  /** Submits a job that has this request class and this idempotency key. */
  private static SubmittedJob submit(DispatcherHarness harness, JsonNode requestClass, String key)
      throws IOException {
    return harness.submitWithKey("/" + requestClass.get("name").asText() + "/1", key);
  }

  private static void serveOneJob(DispatcherHarness harness, JsonNode requestClass, String result)
      throws Exception {
    SubmittedJob job = submit(harness, requestClass, "first-key");
    assertServed(harness, job, ReceivedJob.awaitNext(harness), result);
  }

  /** Accepts and completes a job as its worker, and checks that the client gets the result. */
  private static void assertServed(
      DispatcherHarness harness, SubmittedJob job, ReceivedJob received, String result)
      throws IOException {
    assertEquals(job.id(), received.post.header("X-Call-Id"));
    received.post.respond(202, "");
    assertEquals(200, harness.reportDone(job.id(), "w" + received.worker, result));
    assertEquals(result, job.response().body());
  }
}
